//! Property tests with random, truncated and damaged event files and fixed seeds.

use mgw_event::event::{MAX_NAME, MAX_TEXT};
use mgw_event::timeline::{Filter, MAX_LINE, MAX_REPORTED_ERRORS, Outcome, read};
use mgw_event::{Body, Event, Kind, Recorder};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};

fn text(random: &mut SmallRng) -> String {
    let characters = ['a', '\n', '\0', '"', '\\', 'ž', '\u{10ffff}', '\u{2028}', '9', ' '];
    let limit = if random.random_ratio(1, 20) { 400 } else { 20 };
    (0..random.random_range(0..limit))
        .map(|_| characters[random.random_range(0..characters.len())])
        .collect()
}

fn event(recorder: &mut Recorder, random: &mut SmallRng) -> Event {
    let mut body = Body::new(Kind::ALL[random.random_range(0..Kind::ALL.len())]);
    for field in 0..7 {
        body = match (random.random(), field) {
            (false, _) => body,
            (true, 0) => body.request(text(random)),
            (true, 1) => body.group(random.random()),
            (true, 2) => body.instance(text(random)),
            (true, 3) => body.team(text(random)),
            (true, 4) => body.entry(text(random)),
            (true, 5) => body.offset(random.random()),
            (true, _) => body.text(text(random)),
        };
    }
    recorder.record(random.random::<u64>() >> random.random_range(0..64), body)
}

/// Reads `bytes` and checks that the result is within its limits.
fn check(bytes: &[u8]) -> Outcome {
    let outcome = read(bytes, &Filter::default()).expect("memory can be read");
    let lines = bytes.split(|byte| *byte == b'\n').count() as u64;
    assert!(outcome.events.len() as u64 + outcome.malformed <= lines);
    assert_eq!(outcome.errors.len() as u64, outcome.malformed.min(MAX_REPORTED_ERRORS as u64));
    assert!(outcome.errors.iter().all(|(line, _)| (1..=lines).contains(line)));
    for Event { body, .. } in &outcome.events {
        let names = [&body.request, &body.instance, &body.team, &body.entry];
        assert!(names.iter().all(|name| name.len() <= MAX_NAME) && body.text.len() <= MAX_TEXT);
    }
    outcome
}

/// Guards against a field that is lost or changed by writing and reading, such as text with line
/// breaks, and against an event whose line exceeds the reader's limit.
#[test]
fn events_round_trip_through_json_lines() {
    let mut random = SmallRng::seed_from_u64(17);
    let mut recorder = Recorder::new("entry-1", 4);
    let events: Vec<_> = (0..1_000).map(|_| event(&mut recorder, &mut random)).collect();
    let lines: Vec<_> = events.iter().map(Event::json).collect();
    assert!(lines.iter().all(|line| line.len() <= MAX_LINE));
    let outcome = check(lines.join("\n").as_bytes());
    assert_eq!(outcome.events, events);
    assert_eq!(outcome.malformed, 0);
}

/// Guards against a panic, an unbounded list of errors, and a damaged line that affects the lines
/// around it.
#[test]
fn only_truncated_and_damaged_lines_are_skipped() {
    let mut random = SmallRng::seed_from_u64(18);
    let mut recorder = Recorder::new("entry-1", 4);
    for _ in 0..800 {
        let (first, second) =
            (event(&mut recorder, &mut random), event(&mut recorder, &mut random));
        let line = second.json().into_bytes();
        let cut = random.random_range(0..line.len());
        let mut damaged = line.clone();
        let bit = random.random_range(0..8 * line.len());
        damaged[bit / 8] ^= 1 << (bit % 8);
        for second in [&line[..cut], &damaged[..]] {
            let file = [first.json().as_bytes(), second, first.json().as_bytes()].join(&b'\n');
            let outcome = check(&file);
            assert_eq!(outcome.events.first(), Some(&first));
            assert_eq!(outcome.events.last(), Some(&first));
        }
    }
}

/// Guards against a panic on arbitrary bytes, and against a long line that is held in memory or
/// taken for several.
#[test]
fn random_bytes_are_read_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(19);
    for _ in 0..1_500 {
        let mut bytes = vec![0; random.random_range(0..600)];
        random.fill_bytes(&mut bytes);
        if random.random() {
            let alphabet = b"{}[]\",:\n\\u0019seq.-e ";
            bytes.iter_mut().for_each(|byte| *byte = alphabet[usize::from(*byte) % alphabet.len()]);
        }
        check(&bytes);
    }
    let long = vec![b'{'; 20 * MAX_LINE];
    let outcome = check(&long);
    assert_eq!((outcome.events.len(), outcome.malformed), (0, 1));
}
