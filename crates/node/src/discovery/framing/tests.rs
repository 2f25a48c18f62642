use super::*;

/// Returns the lists into which a text is split that arrives in pieces of `piece_size` bytes.
fn split(text: &str, piece_size: usize) -> Vec<String> {
    let mut framer = ListFramer::default();
    let mut lists = Vec::new();
    for piece in text.as_bytes().chunks(piece_size) {
        framer.push(piece);
        while let Some(item) = framer.next_item().expect("no list is too long") {
            if let WatchItem::List(list) = item {
                lists.push(String::from_utf8_lossy(list.trim_ascii()).into_owned());
            }
        }
    }
    lists
}

const ONE_LINE: &str = r#"{"index":1,"endpoints":[{"name":"a {[\" b"}]}"#;
const INDENTED: &str =
    "{\n  \"index\": 2,\n  \"endpoints\": [\n    {\n      \"name\": \"a\"\n    }\n  ]\n}";
const ENTRY_PER_LINE: &str = "{\"endpoints\": [\n{\"name\": \"a\"},\n{\"name\": \"b\"}\n]}";
const UNINDENTED: &str = "{\n\"index\": 3,\n\"endpoints\": [\n{\n\"name\": \"a\"\n}\n]\n}";

#[test]
fn lists_of_any_format_are_split_from_pieces_of_any_size() {
    let text =
        format!("\n{ONE_LINE}\n\n{INDENTED}\n{UNINDENTED}\n\n\n{ENTRY_PER_LINE}\n{ONE_LINE}");
    for piece_size in 1..text.len() {
        assert_eq!(
            split(&text, piece_size),
            [ONE_LINE, INDENTED, UNINDENTED, ENTRY_PER_LINE, ONE_LINE],
            "pieces of {piece_size} bytes"
        );
    }
}

#[test]
fn a_truncated_list_does_not_consume_the_next_one() {
    for broken in [
        "{\"index\":4,\"endpoints\":[",
        "{\n  \"index\": 4,",
        "noise",
        "]]}",
        "{\"index\": \"4",
    ] {
        assert_eq!(
            split(&format!("{broken}\n{ONE_LINE}\n"), 7),
            [broken, ONE_LINE]
        );
        assert_eq!(
            split(&format!("{broken}\n\n{INDENTED}\n"), 7)
                .last()
                .map(String::as_str),
            Some(INDENTED)
        );
    }
}

#[test]
fn an_endless_list_fails_as_too_long() {
    let mut framer = ListFramer::default();
    framer.push(b"{\"index\":");
    let piece = [b' '; 1 << 16];
    assert!((0..=MAX_LIST_BYTES >> 16).any(|_| {
        framer.push(&piece);
        framer.next_item() == Err(ListTooLong)
    }));
}

/// An empty line within a list ends that list, and is no sign that the watch is alive.
#[test]
fn only_an_empty_line_between_lists_is_a_heartbeat() {
    let count_heartbeats = |text: &str| {
        let mut framer = ListFramer::default();
        framer.push(text.as_bytes());
        let items = std::iter::from_fn(|| framer.next_item().expect("no list is too long"));
        items.filter(|item| *item == WatchItem::Heartbeat).count()
    };
    assert_eq!(
        count_heartbeats(&format!("\n{ONE_LINE}\n\r\n{INDENTED}\n\n")),
        3
    );
    assert_eq!(count_heartbeats("{\n  \"index\": 4,\n"), 0);
}
