use super::*;

const MIB: usize = 1 << 20;

fn capacity(client_connections: usize, endpoint_connections: usize, body_bytes: usize) -> Capacity {
    Capacity {
        client_connections,
        endpoint_connections,
        body_bytes,
    }
}

#[test]
fn descriptors_limit_the_connections_and_bodies_get_most_of_the_memory_left() {
    assert_eq!(
        Capacity::within(1024, 192 * MIB),
        capacity(488, 488, 126_713_856)
    );
}

#[test]
fn memory_limits_the_connections_and_leaves_the_least_for_bodies() {
    assert_eq!(Capacity::within(1024, 9 * MIB), capacity(10, 11, MIB));
    assert_eq!(Capacity::within(1024, 0), capacity(1, 1, MIB));
}

#[test]
fn a_system_that_allows_few_descriptors_has_half_of_them_reserved() {
    assert_eq!(Capacity::within(50, 192 * MIB).client_connections, 12);
    assert_eq!(Capacity::within(50, 192 * MIB).endpoint_connections, 13);
}
