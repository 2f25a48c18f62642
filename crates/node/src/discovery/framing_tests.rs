use super::*;

/// What comes of a text that arrives in pieces of that size.
fn cut(text: &str, size: usize) -> Vec<String> {
    let (mut lists, mut found) = (Lists::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        lists.push(piece);
        while let Some(list) = lists.next().expect("not long") {
            found.push(String::from_utf8_lossy(list.trim_ascii()).into_owned());
        }
    }
    found
}

const ONE: &str = r#"{"index":1,"endpoints":[{"name":"a {[\" b"}]}"#;
const INDENTED: &str = "{\n  \"index\": 2,\n  \"endpoints\": [\n    {\n      \"name\": \"a\"\n    }\n  ]\n}";
const BY_LINE: &str = "{\"endpoints\": [\n{\"name\": \"a\"},\n{\"name\": \"b\"}\n]}";
const FLAT: &str = "{\n\"index\": 3,\n\"endpoints\": [\n{\n\"name\": \"a\"\n}\n]\n}";

#[test]
fn lists_are_cut_alike_whatever_their_form_and_however_they_arrive() {
    let text = format!("\n{ONE}\n\n{INDENTED}\n{FLAT}\n\n\n{BY_LINE}\n{ONE}");
    for size in 1..text.len() {
        assert_eq!(cut(&text, size), [ONE, INDENTED, FLAT, BY_LINE, ONE], "pieces of {size}");
    }
}

#[test]
fn a_list_that_was_cut_short_takes_none_along() {
    for broken in ["{\"index\":4,\"endpoints\":[", "{\n  \"index\": 4,", "noise", "]]}", "{\"index\": \"4"] {
        assert_eq!(cut(&format!("{broken}\n{ONE}\n"), 7), [broken, ONE]);
        assert_eq!(cut(&format!("{broken}\n\n{INDENTED}\n"), 7).last().map(String::as_str), Some(INDENTED));
    }
}

#[test]
fn a_list_without_end_is_too_long() {
    let mut lists = Lists::default();
    lists.push(b"{\"index\":");
    let piece = [b' '; 1 << 16];
    assert!((0..=LONGEST >> 16).any(|_| {
        lists.push(&piece);
        lists.next() == Err(TooLong)
    }));
}
