use super::*;

const MIB: usize = 1 << 20;

fn capacity(
    max_client_connections: usize,
    max_endpoint_connections: usize,
    body_memory_bytes: usize,
) -> Capacity {
    Capacity {
        max_client_connections,
        max_endpoint_connections,
        body_memory_bytes,
    }
}

#[test]
fn connections_are_limited_by_descriptors_and_bodies_by_memory() {
    assert_eq!(
        Capacity::from_limits(1024, 192 * MIB),
        capacity(488, 488, 126_713_856)
    );
}

#[test]
fn little_memory_limits_connections_and_leaves_bodies_a_minimum() {
    assert_eq!(Capacity::from_limits(1024, 9 * MIB), capacity(10, 11, MIB));
    assert_eq!(Capacity::from_limits(1024, 0), capacity(1, 1, MIB));
}

#[test]
fn half_of_few_available_descriptors_are_reserved() {
    assert_eq!(
        Capacity::from_limits(50, 192 * MIB).max_client_connections,
        12
    );
    assert_eq!(
        Capacity::from_limits(50, 192 * MIB).max_endpoint_connections,
        13
    );
}
