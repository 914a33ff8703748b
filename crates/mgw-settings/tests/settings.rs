//! Guards against invalid settings that are silently ignored or replaced by a default, against
//! errors that are reported one per start, and against keys in output.

use std::ffi::OsString;
use std::os::unix::ffi::OsStringExt;
use std::time::Duration;

use mgw_settings::parser::{
    Address, Choice, Decimal, Integer, Key, List, Millis, Name, Parser, Text,
};
use mgw_settings::{Reader, Setting};

const fn setting<P>(name: &'static str, parser: P, default: Option<&'static str>) -> Setting<P> {
    Setting { name, parser, default, unit: "", secret: false, description: "is read by a test" }
}

const SIZE: Setting<Integer> = setting("ring-size", Integer { min: 1, max: 9 }, Some("5"));
const TIMEOUT: Setting<Millis> =
    Setting { unit: "ms", ..setting("timeout-ms", Millis { min: 10, max: 99 }, Some("50")) };
const ENTRY: Setting<List<Address>> =
    setting("entry", List { item: Address, min: 1, max: 2 }, None);
const KEY: Setting<Key> =
    Setting { secret: true, ..setting("operator-key", Key { min: 16, max: 64 }, None) };
const LEVEL: Setting<Choice> = setting("log-level", Choice(&["info", "debug"]), Some("info"));

fn environment(variables: &[(&str, &str)]) -> Vec<(OsString, OsString)> {
    variables.iter().map(|(name, value)| (name.into(), value.into())).collect()
}

fn error_lines(reader: Reader) -> String {
    let errors = reader.finish().expect_err("there are errors");
    let lines: Vec<_> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

/// Guards against a variable that overrides a flag, and against a default that replaces a given
/// value.
#[test]
fn flag_precedes_variable_and_variable_precedes_default() {
    let variables = environment(&[
        ("MARIGOLDWALL_RING_SIZE", "7"),
        ("MARIGOLDWALL_TIMEOUT_MS", "20"),
        ("PATH", "/bin"),
    ]);
    let mut reader = Reader::new(vec![("ring-size", "3".to_owned())], variables);
    assert_eq!(reader.required(&SIZE), Some(3));
    assert_eq!(reader.required(&TIMEOUT), Some(Duration::from_millis(20)));
    assert_eq!(reader.required(&LEVEL), Some("info"));
    assert_eq!(reader.optional(&KEY), None);
    assert_eq!(reader.finish(), Ok(()));
}

/// Guards against reading that stops at the first error, so that an operator corrects one setting
/// per start, and against a key in an error message.
#[test]
fn all_errors_are_reported_with_name_value_and_allowed_values() {
    let mut variables = environment(&[
        ("MARIGOLDWALL_RING_SIZE", "0"),
        ("MARIGOLDWALL_OPERATOR_KEY", "my-short-key"),
        ("MARIGOLDWALL_OPERATER_KEY", "my-misspelt-key-0123"),
    ]);
    variables.push(("MARIGOLDWALL_LOG_LEVEL".into(), OsString::from_vec(vec![0xff])));
    let mut reader = Reader::new(vec![("timeout-ms", "+20".to_owned())], variables);
    assert_eq!(reader.required(&SIZE), None);
    assert_eq!(reader.required(&TIMEOUT), None);
    assert_eq!(reader.required(&ENTRY), None);
    assert_eq!(reader.required(&KEY), None);
    assert_eq!(reader.required(&LEVEL), None);
    let errors = error_lines(reader);
    assert!(!errors.contains("my-"), "{errors}");
    insta::assert_snapshot!(errors, @r#"
    MARIGOLDWALL_RING_SIZE = `0`: not allowed; allowed is an integer from 1 to 9
    --timeout-ms = `+20`: not allowed; allowed is an integer from 10 to 99 (ms)
    --entry or MARIGOLDWALL_ENTRY: missing; allowed is 1 to 2 different values with commas between them, each an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000
    MARIGOLDWALL_OPERATOR_KEY: not allowed; allowed is 16 to 64 visible ASCII characters without spaces
    MARIGOLDWALL_LOG_LEVEL: the value is not valid UTF-8
    MARIGOLDWALL_OPERATER_KEY: no setting has this variable; known are MARIGOLDWALL_RING_SIZE, MARIGOLDWALL_TIMEOUT_MS, MARIGOLDWALL_ENTRY, MARIGOLDWALL_OPERATOR_KEY, MARIGOLDWALL_LOG_LEVEL
    "#);
}

/// Guards against a misspelt variable that is silently ignored.
#[test]
fn variables_of_other_programs_must_be_allowed() {
    let variables = environment(&[("MARIGOLDWALL_PEERS", "x")]);
    let mut reader = Reader::new(Vec::new(), variables.clone());
    reader.allow_unused(&["peers"]);
    assert_eq!(reader.finish(), Ok(()));
    assert!(Reader::new(Vec::new(), variables).finish().is_err());
}

/// Guards against a parser that accepts a value outside of its range or in another notation.
#[test]
fn parsers_reject_values_that_are_not_allowed() {
    let list = List { item: Address, min: 1, max: 2 };
    assert_eq!(list.parse("127.0.0.1:1, [::1]:2").map(|list| list.len()), Some(2));
    for text in
        ["", "127.0.0.1:1,", "127.0.0.1:1,127.0.0.1:1", "a:1", "1.1.1.1:1,1.1.1.1:2,1.1.1.1:3"]
    {
        assert_eq!(list.parse(text), None, "{text}");
    }
    for text in ["", "127.0.0.1", "127.0.0.1:0", "localhost:80", "127.0.0.1:65536"] {
        assert_eq!(Address.parse(text), None, "{text}");
    }
    let decimal = Decimal { min: 0.0, max: 1.0 };
    assert_eq!(decimal.parse("0.25"), Some(0.25));
    for text in ["", "NaN", "inf", "1e-3", "-0.1", "1.1", "."] {
        assert_eq!(decimal.parse(text), None, "{text}");
    }
    for text in ["", "-a", "a b", "a/b", "ž"] {
        assert_eq!(Name.parse(text), None, "{text}");
    }
    assert_eq!(Name.parse("entry-1").as_deref(), Some("entry-1"));
    let text = Text { min: 1, max: 4 };
    assert_eq!(text.parse("a b").as_deref(), Some("a b"));
    assert_eq!((text.parse(""), text.parse("a\nb"), text.parse("12345")), (None, None, None));
    let key = Key { min: 2, max: 3 };
    assert_eq!((key.parse("a"), key.parse("a b"), key.parse("ž")), (None, None, None));
    let integer = Integer { min: 0, max: u64::MAX };
    assert_eq!(integer.parse("18446744073709551615"), Some(u64::MAX));
    for text in ["", "-1", "+1", "1.0", "18446744073709551616", " 1"] {
        assert_eq!(integer.parse(text), None, "{text}");
    }
}

/// Guards against a settings page that omits the flag, variable, default or allowed values.
#[test]
fn markdown_row_holds_flag_variable_default_and_allowed_values() {
    insta::assert_snapshot!(TIMEOUT.markdown_row(), @r#"
    | `--timeout-ms` | `MARIGOLDWALL_TIMEOUT_MS` | `50` | an integer from 10 to 99 (ms) | is read by a test |
    "#);
    insta::assert_snapshot!(ENTRY.markdown_row(), @r#"
    | `--entry` | `MARIGOLDWALL_ENTRY` | none | 1 to 2 different values with commas between them, each an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000 | is read by a test |
    "#);
}
