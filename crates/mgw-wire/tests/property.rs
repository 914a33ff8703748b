//! Property tests with random, truncated and damaged frames and fixed seeds.

use mgw_wire::codec::{self, Decoder, Error, VERSION};
use mgw_wire::frame::{
    Blame, Frame, Group, Heartbeat, Instance, Item, Outcome, Phase, Relay, Stamp, State, Usage,
};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

/// Returns a random number of random magnitude, so every length of a variable-length integer
/// occurs.
fn number(random: &mut SmallRng) -> u64 {
    random.random::<u64>() >> random.random_range(0..64)
}

fn word(random: &mut SmallRng) -> u32 {
    number(random) as u32
}

fn text(random: &mut SmallRng) -> String {
    let characters = ['a', '\0', '"', 'ž', '\u{10ffff}', '9'];
    (0..random.random_range(0..12))
        .map(|_| characters[random.random_range(0..characters.len())])
        .collect()
}

fn bytes(random: &mut SmallRng, limit: usize) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..limit)];
    random.fill_bytes(&mut bytes);
    bytes
}

fn item(random: &mut SmallRng) -> Item {
    let phases = [Phase::Starting, Phase::Serving, Phase::Draining];
    let states = [State::Silent, State::Idle, State::Loading, State::Ready, State::Failed];
    match random.random_range(0..7) {
        0 => Item::Heartbeat(Heartbeat {
            incarnation: number(random),
            counter: number(random),
            entry: text(random),
            caller_address: text(random),
            peer_address: text(random),
            zone: text(random),
            phase: phases[random.random_range(0..phases.len())],
            applied_offset: number(random),
            uptime_ms: number(random),
        }),
        1 => Item::Group(Group {
            group: number(random),
            fence: number(random),
            observer: number(random),
            counter: number(random),
            servable: random.random(),
            queued: word(random),
            running: word(random),
            slots: word(random),
            age_ms: word(random),
        }),
        2 => Item::Instance(Instance {
            instance: text(random),
            boot: text(random),
            observer: number(random),
            counter: number(random),
            fence: number(random),
            group: number(random),
            state: states[random.random_range(0..states.len())],
            load: word(random),
            age_ms: word(random),
        }),
        3 => Item::Usage(Usage {
            incarnation: number(random),
            counter: number(random),
            team: text(random),
            requests: word(random),
            tokens: word(random),
            in_flight: word(random),
        }),
        4 => Item::Blame(Blame {
            fingerprint: random.random::<u128>() >> random.random_range(0..128),
            observer: number(random),
            counter: number(random),
        }),
        5 => Item::HeartbeatCounters {
            digest: number(random),
            first_index: random.random(),
            counters: bytes(random, 40),
        },
        _ => Item::GroupAges {
            digest: number(random),
            first_index: random.random(),
            ages: bytes(random, 40),
            loads: bytes(random, 40),
        },
    }
}

fn stamp(random: &mut SmallRng) -> Stamp {
    Stamp { wall_ms: number(random), logical: word(random) }
}

fn frame(random: &mut SmallRng) -> Frame {
    match random.random_range(0..7) {
        0 => Frame::Gossip {
            sender: number(random),
            items: (0..random.random_range(0..6)).map(|_| item(random)).collect(),
        },
        1 => Frame::Relay(Relay {
            exchange_id: number(random),
            executor: number(random),
            team: text(random),
            service: text(random),
            key: text(random),
            method: text(random),
            path: text(random),
            content_type: text(random),
            body: bytes(random, 200),
            deadline_ms: number(random),
            stamp: stamp(random),
        }),
        2 => {
            let outcome = match random.random_range(0..4) {
                0 => Outcome::Done {
                    status: random.random(),
                    content_type: text(random),
                    body: bytes(random, 200),
                },
                1 => Outcome::NotRun { reason: text(random) },
                2 => Outcome::Unknown { reason: text(random) },
                _ => Outcome::Conflict,
            };
            Frame::RelayAnswer { exchange_id: number(random), outcome }
        }
        3 => Frame::StateRequest,
        4 => Frame::StateChunk {
            end_offset: number(random),
            index: word(random),
            count: word(random),
            bytes: bytes(random, 200),
        },
        5 => Frame::Stamp(stamp(random)),
        _ => Frame::ViewRequest,
    }
}

/// Returns the peak virtual size of this process in KiB, which includes allocations that were never
/// written to.
fn peak_virtual_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("Linux");
    let line = status.lines().find(|line| line.starts_with("VmPeak:")).expect("VmPeak");
    line.split_whitespace().nth(1).expect("a number").parse().expect("a number")
}

/// Guards against a field that is lost or changed by encoding, a computed size that differs from
/// the encoded one, a truncated frame that is accepted, and a damaged frame that makes the receiver
/// panic or allocate the size that a damaged length states.
///
/// One test, because memory is measured for the whole process.
#[test]
fn frames_round_trip_and_damaged_frames_are_rejected_safely() {
    let mut random = SmallRng::seed_from_u64(11);
    let before = peak_virtual_kib();
    for _ in 0..1_500 {
        let sent = frame(&mut random);
        let encoded = match codec::encode(&sent) {
            Ok(encoded) => encoded,
            Err(error) => {
                assert!(
                    matches!(error, Error::Oversized { limit: codec::MAX_GOSSIP_SIZE, .. }),
                    "{error}"
                );
                continue;
            }
        };
        assert_eq!(encoded.len(), codec::encoded_size(&sent));
        assert_eq!(codec::decode(&encoded).as_ref(), Ok(&sent));
        for _ in 0..4 {
            let cut = random.random_range(0..encoded.len());
            assert_eq!(
                codec::decode(&encoded[..cut]),
                Err(Error::Truncated),
                "{sent:?} cut at {cut}"
            );
            let mut decoder = Decoder::default();
            decoder.push(&encoded[..cut]);
            assert_eq!(decoder.pop(), Ok(None));
            decoder.push(&encoded[cut..]);
            assert_eq!(decoder.pop(), Ok(Some(sent.clone())));
        }
        for _ in 0..16 {
            let mut damaged = encoded.clone();
            let bit = random.random_range(0..8 * encoded.len());
            damaged[bit / 8] ^= 1 << (bit % 8);
            if let Ok(found) = codec::decode(&damaged) {
                // An accepted frame can be forwarded; integers may shrink to their shortest
                // encoding.
                let again = codec::encode(&found).expect("within the limit");
                assert!(again.len() <= damaged.len());
                assert_eq!(codec::decode(&again), Ok(found));
            }
        }
        let mut noise = bytes(&mut random, 300);
        if let Some(size) = noise.len().checked_sub(4).filter(|size| *size > 0) {
            noise[..4].copy_from_slice(&(size as u32).to_be_bytes());
            noise[4] = VERSION;
        }
        let _ = codec::decode(&noise);
    }
    let grown = peak_virtual_kib().saturating_sub(before);
    assert!(grown < 256 << 10, "virtual size grew by {grown} KiB");
}
