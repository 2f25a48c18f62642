//! Encoding of replies. Frames are written in hexadecimal.

use super::{hex, ms, padded};
use crate::wire::layout::ACTION_SIZE;
use crate::wire::{NodeId, Reply};
use ottertiller_balancer::{Action, EndpointId, RequestId, Timer};

#[test]
fn reply_with_two_actions_and_fault_is_byte_exact() {
    let mut reply = Reply::default();
    let endpoint = EndpointId(0x0a12_4a07_1b5b);
    reply.push(
        NodeId(3),
        &Action::StartAttempt {
            id: RequestId(0x000f_b047_5d3a_91c4),
            endpoint,
            timeout: ms(80.0),
        },
    );
    reply.push(
        NodeId(3),
        &Action::SetTimer {
            after: ms(500.0),
            timer: Timer::Request(RequestId(0x4d)),
        },
    );
    reply.push_fault(NodeId(5), "two servers known");
    let mut expected = hex("0000000c 00000071 00000003");
    expected.extend(padded(
        "4c 0003 000fb0475d3a91c4 0a124a07 1b5b 4054000000000000",
        ACTION_SIZE,
    ));
    expected.extend(padded(
        "44 0003 407f400000000000 000000000000004d",
        ACTION_SIZE,
    ));
    expected.extend(padded("47 0005 00000000 00000011", ACTION_SIZE));
    expected.extend(hex("74776f2073657276657273206b6e6f776e"));
    assert_eq!(reply.into_frame(12), expected);
}

#[test]
fn other_actions_are_byte_exact() {
    let (id, endpoint) = (RequestId(5), EndpointId(0x0102_0304_0506));
    let cases = [
        (Action::Fail { id }, "41 0003 0000000000000005"),
        (Action::HealthCheck { endpoint }, "42 0003 01020304 0506"),
        (
            Action::CancelAttempt { id, attempt: 2 },
            "45 0003 0000000000000005 02",
        ),
        (Action::Subscribe { enabled: true }, "46 0003 01"),
        (
            Action::Shed {
                id,
                retry_after: Some(ms(500.0)),
            },
            "4b 0003 0000000000000005 407f400000000000",
        ),
        (
            Action::Shed {
                id,
                retry_after: None,
            },
            "4b 0003 0000000000000005",
        ),
    ];
    for (action, record) in cases {
        let mut reply = Reply::default();
        reply.push(NodeId(3), &action);
        let expected = padded(record, ACTION_SIZE);
        assert_eq!(reply.into_frame(1)[12..], expected, "{action:?}");
    }
    let mut reply = Reply::default();
    reply.push_fault(NodeId(3), "hi");
    assert_eq!(
        reply.into_frame(1)[12..],
        [
            padded("47 0003 00000000 00000002", ACTION_SIZE),
            b"hi".to_vec()
        ]
        .concat()
    );
}
