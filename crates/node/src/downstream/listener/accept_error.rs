//! Classifies the errors of accept(2).

use rustix::io::Errno;
use std::io;

/// The kind of an accept error, which determines how the acceptor recovers. The errors are
/// documented in the Linux manual page accept(2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AcceptErrorKind {
    /// This process has no file descriptor left. Closing a connection helps.
    OutOfDescriptors,
    /// The system lacks a resource that this process cannot free.
    SystemResources,
    /// The connection to be accepted has failed, or the call was interrupted. The next accept may
    /// succeed.
    OneConnection,
}

impl From<&io::Error> for AcceptErrorKind {
    /// Classifies an error. An undocumented one counts as [`AcceptErrorKind::SystemResources`], for
    /// which no connection is closed.
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
            // ENFILE, ENOBUFS, ENOMEM and undocumented errors.
            _ => AcceptErrorKind::SystemResources,
        }
    }
}
