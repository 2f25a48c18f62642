use super::*;

/// What comes of a text that arrives in pieces of that size.
fn split(text: &str, size: usize) -> Vec<String> {
    let (mut framer, mut found) = (ListFramer::default(), Vec::new());
    for piece in text.as_bytes().chunks(size) {
        framer.push(piece);
        while let Some(line) = framer.next_item().expect("not long") {
            if let WatchItem::List(list) = line {
                found.push(String::from_utf8_lossy(list.trim_ascii()).into_owned());
            }
        }
    }
    found
}

const ONE: &str = r#"{"index":1,"endpoints":[{"name":"a {[\" b"}]}"#;
const INDENTED: &str =
    "{\n  \"index\": 2,\n  \"endpoints\": [\n    {\n      \"name\": \"a\"\n    }\n  ]\n}";
const BY_LINE: &str = "{\"endpoints\": [\n{\"name\": \"a\"},\n{\"name\": \"b\"}\n]}";
const FLAT: &str = "{\n\"index\": 3,\n\"endpoints\": [\n{\n\"name\": \"a\"\n}\n]\n}";

#[test]
fn lists_of_any_format_in_pieces_of_any_size_split_alike() {
    let text = format!("\n{ONE}\n\n{INDENTED}\n{FLAT}\n\n\n{BY_LINE}\n{ONE}");
    for size in 1..text.len() {
        assert_eq!(
            split(&text, size),
            [ONE, INDENTED, FLAT, BY_LINE, ONE],
            "pieces of {size}"
        );
    }
}

#[test]
fn a_truncated_list_does_not_swallow_the_next_one() {
    for broken in [
        "{\"index\":4,\"endpoints\":[",
        "{\n  \"index\": 4,",
        "noise",
        "]]}",
        "{\"index\": \"4",
    ] {
        assert_eq!(split(&format!("{broken}\n{ONE}\n"), 7), [broken, ONE]);
        assert_eq!(
            split(&format!("{broken}\n\n{INDENTED}\n"), 7)
                .last()
                .map(String::as_str),
            Some(INDENTED)
        );
    }
}

#[test]
fn a_list_without_end_is_too_long() {
    let mut framer = ListFramer::default();
    framer.push(b"{\"index\":");
    let piece = [b' '; 1 << 16];
    assert!((0..=MAX_LIST_BYTES >> 16).any(|_| {
        framer.push(&piece);
        framer.next_item() == Err(ListTooLong)
    }));
}

/// An empty line within a list is the end of that list, and says nothing of the watch.
#[test]
fn only_an_empty_line_between_lists_is_a_heartbeat() {
    let heartbeats = |text: &str| {
        let mut framer = ListFramer::default();
        framer.push(text.as_bytes());
        let lines = std::iter::from_fn(|| framer.next_item().expect("not long"));
        lines.filter(|line| *line == WatchItem::Heartbeat).count()
    };
    assert_eq!(heartbeats(&format!("\n{ONE}\n\r\n{INDENTED}\n\n")), 3);
    assert_eq!(heartbeats("{\n  \"index\": 4,\n"), 0);
}
