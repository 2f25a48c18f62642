use super::*;

#[test]
fn only_a_delta_of_a_lower_version_is_stale() {
    let list = ListVersion(8);
    for (kind, index, is_stale) in [
        (ListKind::Delta, 7, true),
        (ListKind::Delta, 8, false),
        (ListKind::Delta, 9, false),
        (ListKind::Snapshot, 7, false),
        (ListKind::Cached, 7, false),
    ] {
        let update = list.of_update(Some(index));
        assert_eq!(list.supersedes(kind, update), is_stale, "{kind:?} {index}");
    }
}

#[test]
fn a_delta_never_lowers_the_version_but_a_complete_list_may() {
    let mut list = ListVersion(8);
    list.advance(ListKind::Delta, ListVersion(7));
    assert_eq!(list.number(), 8);
    list.advance(ListKind::Delta, ListVersion(9));
    assert_eq!(list.number(), 9);
    list.advance(ListKind::Delta, list.of_update(None));
    assert_eq!(list.number(), 9);
    list.advance(ListKind::Snapshot, ListVersion(3));
    assert_eq!(list.number(), 3);
}
