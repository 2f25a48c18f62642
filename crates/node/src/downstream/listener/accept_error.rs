//! The classification of the errors with which accepting a connection fails.

use rustix::io::Errno;
use std::io;

/// What a failed accept means for the connections that are open. Linux documents the errors in
/// accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptErrorKind {
    /// This process has no file descriptor left. Closing a connection helps.
    OutOfDescriptors,
    /// The system lacks a resource that this process cannot free.
    SystemResources,
    /// The connection to be accepted has failed, or the call was interrupted. The next accept may
    /// succeed.
    OneConnection,
}

impl From<&io::Error> for AcceptErrorKind {
    /// Classifies an error of accept(2). An error that is not documented counts as a lack of
    /// resources, which closes no connection.
    fn from(error: &io::Error) -> Self {
        match Errno::from_io_error(error) {
            Some(Errno::MFILE) => AcceptErrorKind::OutOfDescriptors,
            Some(
                Errno::CONNABORTED
                | Errno::INTR
                | Errno::PROTO
                | Errno::NETDOWN
                | Errno::NOPROTOOPT
                | Errno::HOSTDOWN
                | Errno::NONET
                | Errno::HOSTUNREACH
                | Errno::OPNOTSUPP
                | Errno::NETUNREACH
                | Errno::TIMEDOUT,
            ) => AcceptErrorKind::OneConnection,
            // ENFILE, ENOBUFS, ENOMEM, and what is not documented.
            _ => AcceptErrorKind::SystemResources,
        }
    }
}
