//! Tests of the scenario language and of the runner.

use mgw_scenario::{parse, run};

const HEAD: &str =
    "entries 3 in a\ndomain d zone a size 2\nmodel m instances 2 replicas 1\nteam t\n";

fn refusal(tail: &str) -> String {
    let text = format!("{HEAD}{tail}");
    parse::parse("x.mgw", "x", &text).expect_err("a bad script").to_string()
}

fn play(tail: &str) -> Result<(), String> {
    let script = parse::parse("x.mgw", "x", &format!("{HEAD}{tail}")).expect("a good script");
    run::run(&script, run::Options::default()).map(drop).map_err(|failure| failure.to_string())
}

/// Guards against a script with a slip that runs and checks nothing.
#[test]
fn a_bad_script_is_refused_with_line_and_cause() {
    let expect = "expect end entries = 3\n";
    for (tail, wanted) in [
        ("at 10 fail d-1\n", "x.mgw:5: expected a time such as 10s or 250ms, found 10"),
        ("at 10s fial d-1\n", "x.mgw:5: expected an action, found fial"),
        ("at 10s fail d-9\n", "x.mgw:5: there is no target Node(\"d-9\")"),
        ("at 10s call c team u model m\n", "x.mgw:5: there is no team \"u\""),
        ("at 10s call c team t model n\n", "x.mgw:5: there is no model \"n\""),
        ("at 10s call c team t model m sped 3\n", "x.mgw:5: expected an option of `call`"),
        ("set spede 3\n", "x.mgw:5: there is no setting spede"),
        ("expect at 5s serving n = 1\n", "x.mgw:5: there is no model n"),
        ("expect at 5s serving m is 1\n", "x.mgw:5: expected `=`, `!=`, `<`"),
        ("expect sometimes entries = 3\n", "x.mgw:5: expected `at`, `by`, `always`"),
        ("expect end count bad done = 1\n", "x.mgw:5: there is no call bad"),
        ("every 0s from 1s to 2s fail d-1\n", "x.mgw:5: expected a period above 0"),
        ("nonsense\n", "x.mgw:5: expected a declaration"),
        ("at 90s fail d-1\nend 5s\n", "the time line goes beyond the end"),
        ("", "x.mgw:4: nothing is expected"),
    ] {
        let tail = if tail.is_empty() { String::new() } else { format!("{tail}{expect}") };
        let found = refusal(&tail);
        assert!(found.contains(wanted), "{tail}: {found}");
    }
}

/// Guards against expectations that hold whatever happens.
#[test]
fn expectations_fail_when_they_should() {
    for expectation in [
        "expect at 20s serving m = 0",
        "expect by 20s from 5s entries = 2",
        "expect always from 15s to 20s serving m = 0",
        "expect never from 15s to 20s serving m = 1",
        "expect count c done = 2",
        "expect end share c done < 100%",
    ] {
        let tail = format!("end 30s\nat 20s call c team t model m\n{expectation}\n");
        let failure = play(&tail).unwrap_err();
        assert!(failure.contains(&format!("line 7: {expectation}")), "{failure}");
    }
    let good = "end 30s\nat 20s call c team t model m\nexpect at 20s serving m = 1\n\
                expect by 20s from 5s entries = 3\nexpect always from 15s to 20s serving m = 1\n\
                expect never from 15s to 20s serving m = 0\nexpect count c done = 1\n\
                expect end share c done = 100%\n";
    assert_eq!(play(good), Ok(()));
}

/// Guards against runs that differ for the same seed, which nobody could examine.
#[test]
fn the_same_seed_gives_the_same_run() {
    let tail = "every 100ms from 12s to 20s call c team t model m\nat 15s fail d-1\n\
                at 16s kill planner\nexpect end entries = 2\n";
    let trace = || {
        let script = parse::parse("x.mgw", "x", &format!("{HEAD}{tail}")).unwrap();
        let world = run::run(&script, run::Options::default()).unwrap();
        world.trace().map(ToString::to_string).collect::<Vec<_>>()
    };
    let (one, two) = (trace(), trace());
    assert!(one.len() > 300, "{}", one.len());
    assert_eq!(one, two);
}
