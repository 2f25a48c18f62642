use super::*;
use EndpointState::{Draining, Ready, Removed};

const LONG_AGO: u64 = 0;

/// Returns an entry with an id, a port, a state and a start time in seconds.
fn listed(id: u64, port: u16, state: EndpointState, started_s: u64) -> ListedEndpoint {
    let entry = EndpointEntry {
        id: EndpointId(id),
        state,
        started: (started_s > LONG_AGO).then(|| Duration::from_secs(started_s)),
        ..EndpointEntry::default()
    };
    ListedEndpoint {
        entry,
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

/// Applies an update, and returns the ids and states that result from it.
fn apply(
    claims: &mut AddressClaims,
    kind: ListKind,
    update: &[ListedEndpoint],
) -> Vec<(u64, EndpointState)> {
    let mut update = update.to_vec();
    claims.apply(kind, &mut update);
    update
        .iter()
        .map(|endpoint| (endpoint.entry.id.0, endpoint.entry.state))
        .collect()
}

/// Guards against: a new process at the address of one that had gone got the work of the old one,
/// because the list did not say yet that the old one had gone.
#[test]
fn endpoint_is_removed_when_another_takes_its_address() {
    for (old_started, new_started) in [(LONG_AGO, 5), (5, 9), (LONG_AGO, LONG_AGO), (9, 5)] {
        let mut claims = AddressClaims::default();
        let old = listed(1, 80, Ready, old_started);
        let other = listed(2, 81, Ready, LONG_AGO);
        let new = listed(3, 80, Draining, new_started);
        apply(
            &mut claims,
            ListKind::Snapshot,
            &[old.clone(), other.clone()],
        );
        assert_eq!(
            apply(&mut claims, ListKind::Delta, std::slice::from_ref(&new)),
            [(3, Draining), (1, Removed)]
        );
        // The old endpoint stays removed while the list names it with the same process.
        let old_again = [old.clone(), other.clone()];
        assert_eq!(
            apply(&mut claims, ListKind::Delta, &old_again),
            [(1, Removed), (2, Ready)]
        );
        let all = [old.clone(), other.clone(), new.clone()];
        assert_eq!(
            apply(&mut claims, ListKind::Snapshot, &all),
            [(1, Removed), (2, Ready), (3, Draining)]
        );
        // It is used again once it has moved, or the new endpoint is gone.
        let mut moved_claims = AddressClaims::default();
        apply(
            &mut moved_claims,
            ListKind::Snapshot,
            &[old.clone(), new.clone()],
        );
        assert_eq!(
            apply(
                &mut moved_claims,
                ListKind::Delta,
                &[listed(1, 82, Ready, 20)]
            ),
            [(1, Ready)]
        );
        apply(&mut claims, ListKind::Delta, &[listed(3, 80, Removed, 0)]);
        assert_eq!(
            apply(&mut claims, ListKind::Delta, std::slice::from_ref(&old)),
            [(1, Ready)]
        );
    }
}

#[test]
fn restarted_endpoint_takes_its_address_back() {
    let mut claims = AddressClaims::default();
    apply(
        &mut claims,
        ListKind::Snapshot,
        &[listed(1, 80, Ready, LONG_AGO)],
    );
    apply(&mut claims, ListKind::Delta, &[listed(2, 80, Ready, 5)]);
    assert_eq!(
        apply(&mut claims, ListKind::Delta, &[listed(1, 80, Ready, 9)]),
        [(1, Ready), (2, Removed)]
    );
}

#[test]
fn of_two_endpoints_at_one_address_in_the_first_list_the_later_start_counts() {
    for kind in [ListKind::Cached, ListKind::Snapshot] {
        let mut claims = AddressClaims::default();
        let both = [listed(1, 80, Ready, 9), listed(2, 80, Ready, 5)];
        assert_eq!(apply(&mut claims, kind, &both), [(1, Ready), (2, Removed)]);
        // Nothing shows which one has gone.
        let mut claims = AddressClaims::default();
        let both = [listed(1, 80, Ready, 5), listed(2, 80, Ready, 5)];
        assert_eq!(apply(&mut claims, kind, &both), [(1, Ready), (2, Ready)]);
    }
}

#[test]
fn claims_end_with_their_endpoints() {
    let mut claims = AddressClaims::default();
    for round in 0..100 {
        let update = [
            listed(round, 80, Removed, 0),
            listed(round + 1, 80, Ready, round + 1),
        ];
        apply(&mut claims, ListKind::Delta, &update);
    }
    assert_eq!((claims.by_id.len(), claims.by_address.len()), (1, 1));
    // Of several entries of one endpoint, the last one counts.
    let update = [listed(100, 81, Ready, 0), listed(100, 82, Ready, 0)];
    apply(&mut claims, ListKind::Delta, &update);
    assert_eq!((claims.by_id.len(), claims.by_address.len()), (1, 1));
    apply(&mut claims, ListKind::Failed, &[]);
    assert_eq!(claims.by_id.len(), 1);
    apply(&mut claims, ListKind::Snapshot, &[]);
    assert_eq!((claims.by_id.len(), claims.by_address.len()), (0, 0));
}

/// Endpoints behind a forwarder have one address. None of them is taken for the successor of the
/// others.
#[test]
fn endpoints_that_share_an_address_are_all_kept() {
    for started in [LONG_AGO, 3] {
        let mut claims = AddressClaims::default();
        let all: Vec<_> = (0..5)
            .map(|id| listed(id, 80, Ready, started * id))
            .collect();
        let kept: Vec<_> = (0..5).map(|id| (id, Ready)).collect();
        assert_eq!(apply(&mut claims, ListKind::Snapshot, &all), kept);
        for update in [listed(2, 80, Ready, 99), listed(7, 80, Ready, 100)] {
            let id = update.entry.id.0;
            assert_eq!(
                apply(&mut claims, ListKind::Delta, &[update]),
                [(id, Ready)]
            );
        }
    }
}
