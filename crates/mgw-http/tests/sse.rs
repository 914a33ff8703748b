//! The splitter passes on complete server-sent events only.

use bytes::BytesMut;
use mgw_http::sse::Splitter;

fn push(splitter: &mut Splitter, text: &str) -> String {
    let (mut input, mut output) = (BytesMut::from(text), BytesMut::new());
    splitter.push(&mut input, &mut output);
    String::from_utf8(output.to_vec()).expect("text")
}

/// Guards against a partial event that a caller receives before the stream is resumed from another
/// server, which sends the event again.
#[test]
fn holds_a_partial_event_back() {
    let mut splitter = Splitter::default();
    assert_eq!(push(&mut splitter, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    assert!(splitter.is_partial());
    assert_eq!(splitter.last_id(), Some(1));
    splitter.resume();
    assert_eq!(push(&mut splitter, "id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    assert_eq!(splitter.last_id(), Some(2));
}

/// Guards against an event that is missed because the blank line that ends it arrives in two reads.
#[test]
fn finds_event_ends_across_reads() {
    let text = "id: 7\r\ndata: a\r\n\r\nid: 8\ndata: b\n\n";
    for size in 1..text.len() {
        let mut splitter = Splitter::default();
        let reads = text.as_bytes().chunks(size);
        let passed: String = reads
            .map(|read| push(&mut splitter, std::str::from_utf8(read).expect("text")))
            .collect();
        assert_eq!((passed.as_str(), splitter.last_id()), (text, Some(8)), "reads of {size} bytes");
        assert!(!splitter.is_partial());
    }
}

/// Guards against a stream that is resumed after an event that the caller never received in full.
#[test]
fn last_id_ignores_a_partial_event() {
    let mut splitter = Splitter::default();
    push(&mut splitter, "id: 3\ndata: a\n\nid: 4\ndata: b\n");
    assert_eq!(splitter.last_id(), Some(3));
}

/// Guards against an event without end that fills the memory. Events that were complete before it
/// are passed on.
#[test]
fn an_event_without_end_is_oversized() {
    let (mut splitter, mut output) = (Splitter::default(), BytesMut::new());
    splitter.push(&mut BytesMut::from(&b"id: 1\n\ndata: "[..]), &mut output);
    splitter.push(&mut BytesMut::from(&vec![b'x'; 256 << 10][..]), &mut output);
    assert!(splitter.is_oversized());
    assert_eq!((&output[..], splitter.last_id()), (&b"id: 1\n\n"[..], Some(1)));
    splitter.resume();
    assert!(!splitter.is_oversized());
}

/// Guards against a resumed stream in which an event comes twice, or in which the error of the
/// server that resumes it passes for an event.
#[test]
fn a_resumed_stream_goes_on_after_the_last_id() {
    for (text, passed) in [
        ("id: 3\ndata: c\n\n", "id: 3\ndata: c\n\n"),
        (": ping\n\nid: 3\ndata: c\n\ndata: d\n\n", ": ping\n\nid: 3\ndata: c\n\ndata: d\n\n"),
        ("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", ""),
        ("event: error\ndata: failed\n\n", ""),
        ("id: 3\ndata: c\n\nHTTP/1.1 503 Unavailable\r\n\r\nfull", "id: 3\ndata: c\n\n"),
    ] {
        let mut splitter = Splitter::default();
        push(&mut splitter, "id: 2\ndata: b\n\nid: 3\nda");
        splitter.resume();
        assert_eq!(push(&mut splitter, text), passed, "{text}");
        assert_eq!(splitter.has_stray(), passed != text, "{text}");
        assert_eq!(push(&mut splitter, "id: 4\n\n").is_empty(), passed != text, "{text}");
    }
}
