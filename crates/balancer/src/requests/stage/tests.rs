use super::*;

#[test]
fn a_stage_never_goes_back() {
    let mut stage = RequestStage::before_health_checks();
    assert!(stage.may_check_health());
    stage.start_streaming();
    stage.finish_health_checks();
    assert!(stage.is_streaming() && !stage.may_check_health());
    stage.close();
    stage.start_streaming();
    assert!(stage.is_closed() && !stage.is_streaming());
}

#[test]
fn a_routable_request_may_not_wait_for_health_checks() {
    let stage = RequestStage::routable();
    assert!(!stage.may_check_health() && !stage.is_streaming() && !stage.is_closed());
}
