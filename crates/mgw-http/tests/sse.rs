//! Events of a stream: only whole ones are passed on.

use bytes::BytesMut;
use mgw_http::sse::Splitter;

fn push(splitter: &mut Splitter, text: &str) -> String {
    let (mut input, mut output) = (BytesMut::from(text), BytesMut::new());
    splitter.push(&mut input, &mut output);
    String::from_utf8(output.to_vec()).expect("text")
}

/// Guards against half an event that a caller gets before the stream goes on elsewhere.
#[test]
fn holds_a_begun_event_back() {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert!(splitter.is_partial());
    assert_eq!(splitter.last_id(), Some(1));
    splitter.drop_partial();
    assert_eq!(push(&mut splitter, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

/// Guards against events that are missed when their end arrives in two pieces.
#[test]
fn finds_ends_across_pieces() {
    let text = "id: 7\r\ndata: a\r\n\r\nid: 8\ndata: b\n\n";
    for size in 1..text.len() {
        let mut splitter = Splitter::default();
        let pieces = text.as_bytes().chunks(size);
        let passed: String = pieces
            .map(|piece| push(&mut splitter, std::str::from_utf8(piece).expect("text")))
            .collect();
        assert_eq!((passed.as_str(), splitter.last_id()), (text, Some(8)), "pieces of {size}");
        assert!(!splitter.is_partial());
    }
}

/// Guards against a resumed stream that begins after an event that the caller never got.
#[test]
fn counts_only_whole_events() {
    let mut splitter = Splitter::default();
    push(&mut splitter, "id: 3\ndata: a\n\nid: 4\ndata: b\n");
    assert_eq!(splitter.last_id(), Some(3));
}
