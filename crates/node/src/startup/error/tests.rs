use super::NodeError;
use crate::config::ConfigError;
use ottertiller_error_chain::ErrorChain;
use std::io;

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
fn an_error_without_source_is_printed_alone() {
    assert_eq!(
        ErrorChain(&NodeError::DriverEnded(None)).to_string(),
        "the driver task ended unexpectedly"
    );
}
