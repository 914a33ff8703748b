//! The body decoder finds the end of a body independently of how its bytes are split into reads.

use bytes::BytesMut;
use mgw_http::Error;
use mgw_http::body::{Decoder, Framing};

/// Decodes `input` in reads of `size` bytes; returns the body, the bytes after it and whether the
/// body is complete.
fn decode(framing: Framing, input: &[u8], size: usize) -> Result<(Vec<u8>, Vec<u8>, bool), Error> {
    let (mut decoder, mut buffer, mut body) =
        (Decoder::new(framing), BytesMut::new(), BytesMut::new());
    for read in input.chunks(size) {
        buffer.extend_from_slice(read);
        decoder.decode(&mut buffer, &mut body)?;
    }
    Ok((body.to_vec(), buffer.to_vec(), decoder.is_done()))
}

/// Guards against a chunked body whose content depends on how its bytes are split into reads.
#[test]
fn decodes_chunks_for_any_read_size() {
    let input = b"3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: v\r\n\r\nnext";
    for size in 1..input.len() {
        let (body, rest, is_done) = decode(Framing::Chunked, input, size).expect("valid");
        assert_eq!(body, b"abc0123456789abcdef", "reads of {size} bytes");
        assert_eq!(rest, b"next");
        assert!(is_done);
    }
}

/// Guards against bytes after a body of known length that are decoded as part of it.
#[test]
fn leaves_bytes_after_content_length() {
    let (body, rest, is_done) = decode(Framing::Length(3), b"abcd", 2).expect("valid");
    assert_eq!((body.as_slice(), rest.as_slice(), is_done), (&b"abc"[..], &b"d"[..], true));
}

/// Guards against malformed or oversized chunk framing that is accepted.
#[test]
fn rejects_malformed_chunks() {
    for input in ["g\r\n", "-1\r\n", "\r\n", "3\nabc", "3\r\nabcX\r\n", "11111111111111111\r\n"] {
        let result = decode(Framing::Chunked, input.as_bytes(), 64);
        assert_eq!(result.err(), Some(Error::Chunk), "{input:?}");
    }
    let long = "1;".to_string() + &"x".repeat(400);
    assert_eq!(decode(Framing::Chunked, long.as_bytes(), 500).err(), Some(Error::Chunk));
}

/// Guards against a response that ends early and is taken for complete.
#[test]
fn reports_a_truncated_body() {
    let mut fixed = Decoder::new(Framing::Length(3));
    assert_eq!(fixed.finish(), Err(Error::Truncated));
    let mut chunked = Decoder::new(Framing::Chunked);
    assert_eq!(chunked.finish(), Err(Error::Truncated));
    let mut until_close = Decoder::new(Framing::Close);
    assert_eq!(until_close.finish(), Ok(()));
    assert!(until_close.is_done());
}
