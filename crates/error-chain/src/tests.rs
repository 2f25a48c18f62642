use super::ErrorChain;
use std::io;

#[derive(Debug, thiserror::Error)]
#[error("endpoint 7")]
struct Middle(#[source] io::Error);

#[derive(Debug, thiserror::Error)]
#[error("response dropped")]
struct Outer(#[source] Middle);

#[test]
fn error_and_causes_are_printed_once_each_on_one_line() {
    let error = Outer(Middle(io::Error::other("out of memory")));
    let line = ErrorChain(&error).to_string();
    assert_eq!(line, "response dropped: endpoint 7: out of memory");
}
