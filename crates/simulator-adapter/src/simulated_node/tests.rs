use super::*;

#[test]
fn panic_is_returned_with_its_message() {
    let panic_with = |message: &str| {
        Err(BalancerPanic {
            message: message.to_string(),
        })
    };
    assert_eq!(catch_panic(|| ()), Ok(()));
    assert_eq!(catch_panic(|| panic!("plain")), panic_with("plain"));
    assert_eq!(
        catch_panic(|| panic!("number {}", 7)),
        panic_with("number 7")
    );
}
