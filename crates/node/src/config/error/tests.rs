use crate::config::Config;
use crate::startup::NodeError;
use ottertiller_error_chain::ErrorChain;

const VALID: &str = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7f","limits":{"sockets":1024},
    "settings":{"Classes":[{"Name":"read","Target":200,"GiveUp":400,"Idempotency":"free"}]}}"#;

/// Parses the valid configuration with `from` replaced by `to`, and returns the error as it is
/// logged.
fn logged_error(from: &str, to: &str) -> String {
    assert!(VALID.contains(from), "{from}");
    let error = Config::parse(&VALID.replace(from, to))
        .err()
        .expect("an invalid configuration");
    ErrorChain(&NodeError::Config(error)).to_string()
}

#[test]
fn errors_are_one_line_that_names_the_key_and_the_cause() {
    assert!(Config::parse(VALID).is_ok());
    let cases = [
        (
            "\"127.0.0.1:0\"",
            "\"here\"",
            "listen: expected an IP address with a port: invalid socket address syntax",
        ),
        (
            "\"127.0.0.1:1\"",
            "\"there\"",
            "discovery: expected an IP address with a port: invalid socket address syntax",
        ),
        (
            "7f",
            "7x",
            "seed: expected a hexadecimal number of up to 64 bits: invalid digit found in string",
        ),
        (
            "1024",
            "49",
            "limits.sockets: 49 sockets are too few: expected at least 50",
        ),
        (
            "\"Name\":\"read\"",
            "\"Name\":\"\"",
            "settings.Classes: a name is empty or repeated in [\"\"]",
        ),
        (
            "{\"sockets\":1024}",
            "{\"sockets\":-1}",
            "limits.sockets: invalid value: integer `-1`, expected usize at line 1 column 84",
        ),
        (
            "200",
            "\"soon\"",
            "invalid settings: Classes[0].Target: invalid type: string \"soon\", expected f64 at \
             line 1 column 42",
        ),
        (
            "\"listen\"",
            "\"listens\"",
            "missing field `listen` at line 2 column 92",
        ),
    ];
    for (from, to, expected) in cases {
        assert_eq!(
            logged_error(from, to),
            format!("bad configuration: {expected}")
        );
    }
}
