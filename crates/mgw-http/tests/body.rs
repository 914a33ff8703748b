//! Bodies: where they end, whatever the pieces that they arrive in.

use bytes::BytesMut;
use mgw_http::Error;
use mgw_http::body::{Decoder, Framing};

/// Decodes `input` in pieces of `size` bytes.
fn decode(framing: Framing, input: &[u8], size: usize) -> Result<(Vec<u8>, Vec<u8>, bool), Error> {
    let (mut decoder, mut buffer, mut body) =
        (Decoder::new(framing), BytesMut::new(), BytesMut::new());
    for piece in input.chunks(size) {
        buffer.extend_from_slice(piece);
        decoder.decode(&mut buffer, &mut body)?;
    }
    Ok((body.to_vec(), buffer.to_vec(), decoder.is_done()))
}

/// Guards against bodies that depend on how their bytes were cut.
#[test]
fn decodes_chunks_in_any_pieces() {
    let input = b"3;x=y\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: v\r\n\r\nnext";
    for size in 1..input.len() {
        let (body, rest, is_done) = decode(Framing::Chunked, input, size).expect("valid");
        assert_eq!(body, b"abc0123456789abcdef", "pieces of {size}");
        assert_eq!(rest, b"next");
        assert!(is_done);
    }
}

/// Guards against bytes after a body that are taken into it.
#[test]
fn stops_at_the_length() {
    let (body, rest, is_done) = decode(Framing::Length(3), b"abcd", 2).expect("valid");
    assert_eq!((body.as_slice(), rest.as_slice(), is_done), (&b"abc"[..], &b"d"[..], true));
}

/// Guards against malformed chunks that pass as a body.
#[test]
fn rejects_malformed_chunks() {
    for input in ["g\r\n", "-1\r\n", "\r\n", "3\nabc", "3\r\nabcX\r\n", "11111111111111111\r\n"] {
        let result = decode(Framing::Chunked, input.as_bytes(), 64);
        assert_eq!(result.err(), Some(Error::Chunk), "{input:?}");
    }
    let long = "1;".to_string() + &"x".repeat(400);
    assert_eq!(decode(Framing::Chunked, long.as_bytes(), 500).err(), Some(Error::Chunk));
}

/// Guards against an answer that ends early and passes as whole.
#[test]
fn knows_a_truncated_body() {
    let mut fixed = Decoder::new(Framing::Length(3));
    assert_eq!(fixed.finish(), Err(Error::Truncated));
    let mut chunked = Decoder::new(Framing::Chunked);
    assert_eq!(chunked.finish(), Err(Error::Truncated));
    let mut open = Decoder::new(Framing::Close);
    assert_eq!(open.finish(), Ok(()));
    assert!(open.is_done());
}
