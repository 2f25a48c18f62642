use super::*;
use hyper::header::HeaderValue;

fn parser(source: LoadReportSource) -> LoadReportParser {
    LoadReportParser::new(
        source,
        vec![LoadReportColumn::InFlight, LoadReportColumn::LatencyMs],
    )
}

#[test]
fn only_the_configured_columns_are_read() {
    let report = parser(LoadReportSource::HealthChecks)
        .parse_body(b" inflight=7, queue=2,latency_ms = 1.5\n");
    let expected = LoadReport {
        in_flight: Some(7.0),
        latency_ms: Some(1.5),
        ..LoadReport::default()
    };
    assert_eq!(report, Some(expected));
}

#[test]
fn a_report_with_a_malformed_part_is_dropped_whole() {
    let parser = parser(LoadReportSource::Responses);
    for text in [
        "",
        "inflight",
        "inflight=",
        "inflight=7,",
        "inflight=-1",
        "inflight=NaN",
        "inflight=inf",
    ] {
        assert_eq!(parser.parse_body(text.as_bytes()), None, "{text:?}");
    }
    assert_eq!(parser.parse_body(b"inflight=\xff"), None);
}

#[test]
fn no_report_is_read_if_endpoints_report_no_load() {
    let headers = HeaderMap::from_iter([(LOAD_REPORT, HeaderValue::from_static("inflight=7"))]);
    assert!(
        parser(LoadReportSource::Responses)
            .parse_headers(&headers)
            .is_some()
    );
    assert_eq!(parser(LoadReportSource::None).parse_headers(&headers), None);
    assert_eq!(
        parser(LoadReportSource::None).parse_body(b"inflight=7"),
        None
    );
}
