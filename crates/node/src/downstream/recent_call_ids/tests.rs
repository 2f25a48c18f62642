use super::*;

fn call_id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&number.to_string()).expect("a header value")
}

/// Guards against: memory that grows with every new id.
#[test]
fn only_the_ids_added_last_are_remembered() {
    let mut ids = RecentCallIds::default();
    for number in 0..=MAX_REMEMBERED {
        ids.add(&call_id(number));
        ids.add(&call_id(number));
    }
    assert!(!ids.contains(&call_id(0)));
    assert!((1..=MAX_REMEMBERED).all(|number| ids.contains(&call_id(number))));
    assert_eq!(ids.order.len(), MAX_REMEMBERED);
    assert_eq!(ids.hashes.len(), MAX_REMEMBERED);
}
