use super::ErrorChain;
use crate::config::ConfigError;
use crate::startup::NodeError;
use std::io;

#[derive(Debug, thiserror::Error)]
#[error("endpoint 7")]
struct Middle(#[source] io::Error);

#[derive(Debug, thiserror::Error)]
#[error("response dropped")]
struct Outer(#[source] Middle);

#[test]
fn an_error_is_printed_with_each_cause_once_in_one_line() {
    let error = Outer(Middle(io::Error::other("out of memory")));
    let line = ErrorChain(&error).to_string();
    assert_eq!(line, "response dropped: endpoint 7: out of memory");
}

#[test]
fn a_configuration_error_is_printed_with_its_cause() {
    let denied = io::Error::new(io::ErrorKind::PermissionDenied, "denied");
    let read = ConfigError::Read {
        path: "node.json".into(),
        source: denied,
    };
    assert_eq!(
        ErrorChain(&NodeError::Config(read)).to_string(),
        "bad configuration: cannot read node.json: denied"
    );
}

#[test]
fn an_error_without_source_is_shown_alone() {
    assert_eq!(
        ErrorChain(&NodeError::DriverEnded(None)).to_string(),
        "the driver task ended"
    );
}
