use super::*;

/// The expected values are those that the authors of FNV publish.
#[test]
fn an_endpoint_id_is_the_fnv_1a_hash_of_the_name() {
    let published = [
        ("", 0xcbf2_9ce4_8422_2325),
        ("a", 0xaf63_dc4c_8601_ec8c),
        ("foobar", 0x8594_4171_f739_67e8),
    ];
    for (name, hash) in published {
        assert_eq!(endpoint_id(name), EndpointId(hash), "{name}");
    }
}

#[test]
fn an_unknown_zone_is_an_error_but_an_unknown_type_is_not() {
    let parser = EntryParser::new(
        vec!["a".to_owned(), "b".to_owned()],
        vec!["small".to_owned()],
    );
    let parse = |zone: &str, machine_type: &str| {
        parser.parse(serde_json::json!({
            "name": "s1", "address": "127.0.0.1:80", "zone": zone, "type": machine_type,
            "status": "in_service"
        }))
    };
    let known = parse("b", "small").expect("a well-formed entry").entry;
    assert_eq!((known.zone, known.machine_type), (1, 0));
    let unknown_type = parse("b", "large").expect("a well-formed entry").entry;
    assert_eq!(
        (unknown_type.zone, unknown_type.machine_type),
        (1, UNKNOWN_MACHINE_TYPE)
    );
    assert!(
        matches!(parse("c", "small"), Err(EntryError::UnknownZone { name, zone }) if name == "s1" && zone == "c")
    );
}
