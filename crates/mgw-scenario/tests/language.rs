//! Tests of the parser of the scenario language and of the runner.

use mgw_scenario::{parse, run};

/// Declarations at the start of each script, lines 1 to 4.
const DECLARATIONS: &str =
    "entries 3 in a\ndomain d zone a size 2\nmodel m instances 2 replicas 1\nteam t\n";

fn parse_error(statements: &str) -> String {
    let text = format!("{DECLARATIONS}{statements}");
    parse::parse("x.mgw", "x", &text).expect_err("an invalid script").to_string()
}

fn run_script(statements: &str) -> Result<(), String> {
    let script =
        parse::parse("x.mgw", "x", &format!("{DECLARATIONS}{statements}")).expect("a valid script");
    run::run(&script, run::Options::default()).map(drop).map_err(|failure| failure.to_string())
}

/// Guards against a mistyped statement that is ignored, so that the script runs but checks nothing.
#[test]
fn invalid_scripts_are_rejected_with_line_and_cause() {
    let expect = "expect end entries = 3\n";
    for (statements, cause) in [
        ("at 10 fail d-1\n", "x.mgw:5: expected a time such as 10s or 250ms, found 10"),
        ("at 10s fial d-1\n", "x.mgw:5: expected an action, found fial"),
        ("at 10s fail d-9\n", "x.mgw:5: unknown target Node(\"d-9\")"),
        ("at 10s call c team u model m\n", "x.mgw:5: unknown team \"u\""),
        ("at 10s call c team t model n\n", "x.mgw:5: unknown model \"n\""),
        ("at 10s call c team t model m sped 3\n", "x.mgw:5: expected an option of `call`"),
        ("set spede 3\n", "x.mgw:5: unknown setting spede"),
        ("expect at 5s serving n = 1\n", "x.mgw:5: unknown model n"),
        ("expect at 5s serving m is 1\n", "x.mgw:5: expected `=`, `!=`, `<`"),
        ("expect sometimes entries = 3\n", "x.mgw:5: expected `at`, `by`, `always`"),
        ("expect end count bad done = 1\n", "x.mgw:5: unknown call bad"),
        ("every 0s from 1s to 2s fail d-1\n", "x.mgw:5: expected a period above 0"),
        ("nonsense\n", "x.mgw:5: expected a declaration"),
        ("at 90s fail d-1\nend 5s\n", "the timeline goes beyond the end"),
        ("", "x.mgw:4: the script has no expectations"),
    ] {
        let statements =
            if statements.is_empty() { String::new() } else { format!("{statements}{expect}") };
        let error = parse_error(&statements);
        assert!(error.contains(cause), "statements: {statements:?}, error: {error}");
    }
}

/// Guards against expectations that pass although their condition is false.
#[test]
fn false_expectations_fail() {
    for expectation in [
        "expect at 20s serving m = 0",
        "expect by 20s from 5s entries = 2",
        "expect always from 15s to 20s serving m = 0",
        "expect never from 15s to 20s serving m = 1",
        "expect count c done = 2",
        "expect end share c done < 100%",
    ] {
        let statements = format!("end 30s\nat 20s call c team t model m\n{expectation}\n");
        let failure = run_script(&statements).unwrap_err();
        assert!(failure.contains(&format!("line 7: {expectation}")), "{failure}");
    }
    let true_expectations = "end 30s\nat 20s call c team t model m\nexpect at 20s serving m = 1\n\
                expect by 20s from 5s entries = 3\nexpect always from 15s to 20s serving m = 1\n\
                expect never from 15s to 20s serving m = 0\nexpect count c done = 1\n\
                expect end share c done = 100%\n";
    assert_eq!(run_script(true_expectations), Ok(()));
}

/// Guards against runs that differ for the same script and seed, whose failures could not be
/// reproduced.
#[test]
fn equal_seeds_give_equal_traces() {
    let statements = "every 100ms from 12s to 20s call c team t model m\nat 15s fail d-1\n\
                at 16s kill planner\nexpect end entries = 2\n";
    let trace = || {
        let script = parse::parse("x.mgw", "x", &format!("{DECLARATIONS}{statements}")).unwrap();
        let world = run::run(&script, run::Options::default()).unwrap();
        world.trace().map(ToString::to_string).collect::<Vec<_>>()
    };
    let (first, second) = (trace(), trace());
    assert!(first.len() > 300, "trace lines: {}", first.len());
    assert_eq!(first, second);
}
