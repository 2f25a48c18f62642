use super::*;

/// Scans a stream in pieces of this size, and returns where requests end in it.
fn ends_in_pieces(stream: &[u8], size: usize) -> Vec<usize> {
    let mut scanner = RequestScanner::default();
    let mut ends = Vec::new();
    let mut position = 0;
    for piece in stream.chunks(size) {
        let piece_end = position + piece.len();
        while let Some(count) = scanner.find_end(&stream[position..piece_end]) {
            position += count;
            ends.push(position);
        }
        position = piece_end;
    }
    ends
}

#[test]
fn requests_end_behind_their_heads_or_bodies_in_pieces_of_any_size() {
    let requests: [&[u8]; 5] = [
        b"GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n",
        b"POST /x HTTP/1.1\r\ncontent-length: 8\r\nA:b\r\n\r\n\r\n\r\n\r\n\r\n",
        b"GET /lines HTTP/1.1\nHost: a\n\n",
        b"\r\n\r\nPOST /x HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nend",
        b"POST /empty HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    ];
    let stream = requests.concat();
    let expected: Vec<_> = (1..=requests.len())
        .map(|count| requests[..count].concat().len())
        .collect();
    for size in 1..=stream.len() {
        assert_eq!(ends_in_pieces(&stream, size), expected, "pieces of {size}");
    }
}

#[test]
fn the_end_of_a_request_that_is_rejected_is_unknown() {
    let oversized = format!(
        "GET / HTTP/1.1\r\nA: {}\r\n\r\n",
        "b".repeat(MAX_HEAD_BYTES)
    );
    for head in [
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
        "no HTTP at all\r\n\r\n",
        &oversized,
    ] {
        let stream = format!("{head}GET / HTTP/1.1\r\n\r\n");
        for size in [1, 7, stream.len()] {
            let ends = ends_in_pieces(stream.as_bytes(), size);
            assert!(ends.is_empty(), "{head}");
        }
    }
}
