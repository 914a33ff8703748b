//! Encoding and decoding of frames, including damaged and malicious input.

use mgw_wire::codec::{self, Decoder, Error};
use mgw_wire::frame::{Blame, Frame, Item, Outcome};

fn gossip(count: u64) -> Frame {
    let blame = |counter| Item::Blame(Blame { fingerprint: 7 << 90, observer: 1 << 50, counter });
    Frame::Gossip { sender: u64::MAX, items: (0..count).map(blame).collect() }
}

fn answer() -> Frame {
    let outcome =
        Outcome::Done { status: 201, content_type: "a/b".into(), body: vec![1, 2, 3, 250] };
    Frame::RelayAnswer { exchange_id: 9, outcome }
}

/// Guards against a frame that is lost or merged with the next one because a read ends inside it.
#[test]
fn frames_survive_any_split_of_the_stream() {
    let frames = [gossip(20), Frame::StateRequest, answer()];
    let bytes: Vec<u8> = frames.iter().flat_map(|frame| codec::encode(frame).unwrap()).collect();
    for read_size in [1, 3, 7, bytes.len()] {
        let mut decoder = Decoder::default();
        let mut found = Vec::new();
        for read in bytes.chunks(read_size) {
            decoder.push(read);
            while let Some(frame) = decoder.pop().unwrap() {
                found.push(frame);
            }
        }
        assert_eq!(found, frames);
        assert_eq!(decoder.finish(), Ok(()));
    }
}

/// Guards against an encoded frame that a receiver would reject for its size, and against a size
/// computed for gossip that differs from the encoded size.
#[test]
fn encoded_sizes_are_exact_and_limited_on_both_sides() {
    for frame in [gossip(0), gossip(20), answer()] {
        assert_eq!(codec::encoded_size(&frame), codec::encode(&frame).unwrap().len());
    }
    assert!(matches!(codec::encode(&gossip(60)), Err(Error::Oversized { limit: 1_200, .. })));
    let chunk =
        |size| Frame::StateChunk { end_offset: 1, index: 0, count: 1, bytes: vec![5; size] };
    let large = codec::encode(&chunk(codec::MAX_FRAME_SIZE - 100)).unwrap();
    assert_eq!(codec::decode(&large), Ok(chunk(codec::MAX_FRAME_SIZE - 100)));
    assert!(matches!(codec::encode(&chunk(codec::MAX_FRAME_SIZE)), Err(Error::Oversized { .. })));
}

/// Guards against a decoder that buffers bytes for a length above the limit.
#[test]
fn length_prefix_above_the_limit_fails_at_once() {
    let mut decoder = Decoder::default();
    decoder.push(&u32::MAX.to_be_bytes());
    assert!(matches!(decoder.pop(), Err(Error::Oversized { .. })));
    decoder.push(&codec::encode(&answer()).unwrap());
    assert!(decoder.pop().is_err(), "a stream whose frame boundaries are lost must stay failed");
    assert!(decoder.finish().is_err());
}

/// Guards against a frame of another version, trailing bytes or an empty frame that is accepted.
#[test]
fn unsupported_versions_and_trailing_bytes_are_errors() {
    let mut bytes = codec::encode(&answer()).unwrap();
    bytes[4] = 9;
    assert_eq!(codec::decode(&bytes), Err(Error::Version { found: 9 }));
    bytes[4] = codec::VERSION;
    bytes.push(0);
    assert!(matches!(codec::decode(&bytes), Err(Error::Malformed { .. })));
    let size = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&size.to_be_bytes());
    assert!(matches!(codec::decode(&bytes), Err(Error::Malformed { .. })));
    assert!(matches!(codec::decode(&[0, 0, 0, 0]), Err(Error::Malformed { .. })));
}

/// Guards against a panic on damaged bytes, and against an allocation of the size that a damaged
/// length states.
#[test]
fn damaged_bytes_never_panic() {
    let bytes = codec::encode(&gossip(30)).unwrap();
    for cut in 0..bytes.len() {
        assert_eq!(codec::decode(&bytes[..cut]), Err(Error::Truncated));
    }
    let mut seed = 7u64;
    for _ in 0..50_000 {
        let mut damaged = bytes.clone();
        for _ in 0..3 {
            seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            let index = 5 + (seed >> 33) as usize % (bytes.len() - 5);
            damaged[index] = (seed >> 20) as u8;
        }
        let _ = codec::decode(&damaged);
    }
    // The length prefix of the vector states 2^63 elements.
    let mut malicious = vec![0, 0, 0, 12, codec::VERSION, 0, 0, 253];
    malicious.extend_from_slice(&(1u64 << 63).to_le_bytes());
    assert!(codec::decode(&malicious).is_err());
}
