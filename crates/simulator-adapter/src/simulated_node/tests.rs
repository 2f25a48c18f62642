use super::*;

#[test]
fn a_panic_in_the_decisions_becomes_its_message() {
    let panicked = |message: &str| {
        Err(DecisionPanic {
            message: message.to_string(),
        })
    };
    assert_eq!(catch_panic(|| ()), Ok(()));
    assert_eq!(catch_panic(|| panic!("plain")), panicked("plain"));
    assert_eq!(catch_panic(|| panic!("number {}", 7)), panicked("number 7"));
}
