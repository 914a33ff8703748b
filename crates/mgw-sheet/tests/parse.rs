//! Tests that invalid sheets are rejected and that each fault names the right row and column.

use mgw_sheet::parse;
use mgw_sheet::parse::{MAX_FIELD_BYTES, MAX_ROWS, MAX_SHEET_BYTES};

const HEADER: &str = "kind,name,zone,domain,accelerator,accelerators,address,fencing,model,version,\
                      instances,replicas,priority,rate,tokens,concurrency,key,service,method,path,\
                      repeatable,value\n";
const SETTINGS: &str = "setting,deployment,,,,,,,,,,,,,,,,,,,,Test\n\
                        setting,downtime_weight,,,,,,,,,,,,,,,,,,,,0.8\n\
                        setting,weight_loads,,,,,,,,,,,,,,,,,,,,4\n";

/// Parses `rows` after the header row and the settings, so that they start at line 5, and renders
/// the faults.
fn render_rows(rows: &str) -> String {
    render(&format!("{HEADER}{SETTINGS}{rows}"))
}

/// Parses a file and renders its faults, one per line, or `accepted` if there are none.
fn render(text: &str) -> String {
    match parse(text) {
        Ok(_) => "accepted".to_owned(),
        Err(faults) => {
            let lines: Vec<_> = faults.iter().map(ToString::to_string).collect();
            lines.join("\n")
        }
    }
}

/// Guards against the rejection of a sheet that a spreadsheet program saved, with byte order
/// mark, CRLF line ends, blank rows, padding and quotes.
#[test]
fn minimal_sheet_is_accepted_with_any_column_order() {
    let sheet = parse(
        "\u{feff}value,kind,name\r\n\r\n0.125 , setting,downtime_weight\r\n\
         \"Naidoo, Durban\",setting,deployment\r\n,,\r\n1,setting,weight_loads\r\n",
    )
    .expect("the sheet is valid");
    assert_eq!(sheet.settings.deployment, "Naidoo, Durban");
    assert_eq!(sheet.settings.downtime_weight, 125);
    assert_eq!(sheet.settings.weight_loads, 1);
}

/// Guards against values that are accepted outside of their range, and against faults with a wrong
/// row or column.
#[test]
fn malformed_values_are_reported_with_row_and_column() {
    insta::assert_snapshot!(render_rows(
        "\
instance,a1,z1,d1,h100,0,10.0.0.1,maybe,,,,,,,,,,,,,,
instance,-a,z 1,d1,h100,65,10.0.0.1:0,yes,,,,,,,,,,,,,,
instance,a3,z1,d1,h100,+8,0.0.0.0:80,no,,,,,,,,,,,,,,
model,m,,,h100,,,,,v1,65,x,4,,,,,,,,,
team,t,,,,,,,,,,,,0,0,-1,secret,,,,,
call,,,,,,,,,,,,,,,,,s,FETCH,a b,true,
"
    ), @r#"
    row 5, column accelerators: `0` is not an integer from 1 to 64
    row 5, column address: `10.0.0.1` is not an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000
    row 5, column fencing: `maybe` is neither yes nor no
    row 6, column name: `-a` is not a name: 1 to 64 of A-Z, a-z, 0-9 and -_., starting with a letter or digit
    row 6, column zone: `z 1` is not a name: 1 to 64 of A-Z, a-z, 0-9 and -_., starting with a letter or digit
    row 6, column accelerators: `65` is not an integer from 1 to 64
    row 6, column address: the port must be from 1 to 65535
    row 7, column accelerators: `+8` is not an integer from 1 to 64
    row 7, column address: `0.0.0.0` is not the address of one host
    row 8, column instances: `65` is not an integer from 1 to 64
    row 8, column replicas: `x` is not an integer from 0 to 10000
    row 8, column priority: `4` is not an integer from 0 to 3
    row 9, column rate: `0` is not an integer from 1 to 1000000
    row 9, column tokens: `0` is not an integer from 1 to 1000000000
    row 9, column concurrency: `-1` is not an integer from 1 to 1000000
    row 9, column key: not 32 hexadecimal digits; `marigoldwall hash-key` prints them
    row 10, column service: the sheet declares no service `s`
    row 10, column method: unknown method `FETCH`; allowed are GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS
    row 10, column path: `a b` is not a path: it starts with / and has only printable ASCII without ? # " \ and without the segments . and ..
    row 10, column repeatable: `true` is neither yes nor no
    "#);
}

/// Guards against duplicate names, addresses, keys and calls, and against references to entities
/// that the sheet does not declare.
#[test]
fn duplicates_and_broken_references_are_reported() {
    let key = "0123456789abcdef0123456789ABCDEF";
    let lower = key.to_lowercase();
    insta::assert_snapshot!(render_rows(&format!(
        "\
setting,weight_loads,,,,,,,,,,,,,,,,,,,,5
instance,a1,z1,d1,h100,8,127.0.0.1:1,yes,,,,,,,,,,,,,,
instance,a1,z2,d1,h100,8,127.0.0.1:1,yes,,,,,,,,,,,,,,
server,a1,z1,,,,[::1]:1,,,,,,,,,,,booking,,,,
model,m,,,h100,,,,,v1,1,1,0,,,,,,,,,
adapter,m,,,,,,,m,,,,,,,,,,,,,
adapter,b,,,,,,,n,,,,,,,,,,,,,
team,t,,,,,,,,,,,,1,1,1,{key},,,,,
team,u,,,,,,,,,,,,1,1,1,{lower},,,,,
service,books,,,,,,,,,,,,,,,,,,,,
call,,,,,,,,,,,,,,,,,books,GET,/a,yes,
call,,,,,,,,,,,,,,,,,books,GET,/a,no,
"
    )), @r#"
    row 5, column name: `weight_loads` is already the name of the setting in row 4
    row 7, column name: `a1` is already the name of the instance in row 6
    row 7, column zone: domain d1 lies in zone z1 according to row 6
    row 7, column address: address 127.0.0.1:1 is already used in row 6
    row 8, column name: `a1` is already the name of the instance in row 7
    row 8, column service: the sheet declares no service `booking`
    row 10, column name: `m` is already the name of the model in row 9
    row 11, column model: the sheet declares no model `n`
    row 13, column key: the key is already used in row 12
    row 16, column path: call GET /a of service books is already used in row 15
    "#);
}

/// Guards against silently ignoring a misspelt kind or a value in the wrong column.
#[test]
fn unknown_kinds_unused_columns_and_missing_values_are_reported() {
    insta::assert_snapshot!(render_rows(
        "\
engine,x,,,,,,,,,,,,,,,,,,,,
,x,,,,,,,,,,,,,,,,,,,,
service,s,z1,,,,,,,,,,,,,,,,,,,
server,b,,,,,,,,,,,,,,,,s,,,,
setting,downtime_wait,,,,,,,,,,,,,,,,,,,,1
team,t,,,,,,,,,,,,1,1,1,,,,,,,extra
"
    ), @r#"
    row 5, column kind: unknown kind `engine`; allowed are setting, instance, model, adapter, team, service, server, call
    row 6, column kind: missing; allowed are setting, instance, model, adapter, team, service, server, call
    row 7, column zone: rows of kind service do not use the column
    row 8, column zone: missing; rows of kind server need a value
    row 8, column address: missing; rows of kind server need a value
    row 9, column name: unknown setting `downtime_wait`; known are deployment, downtime_weight, weight_loads
    row 10: the row has 23 fields; the first row names 22 columns
    row 10, column key: missing; rows of kind team need a value
    "#);
}

/// Guards against silently ignoring a misspelt or duplicate column.
#[test]
fn faults_of_the_first_row_are_reported() {
    insta::assert_snapshot!(
        render("kind,name,name,nmae\nservice,s,t,u\n"),
        @r#"
    sheet, column name: the setting deployment is missing
    sheet, column name: the setting downtime_weight is missing
    sheet, column name: the setting weight_loads is missing
    row 1, column nmae: unknown column; known are kind, name, zone, domain, accelerator, accelerators, address, fencing, model, version, instances, replicas, priority, rate, tokens, concurrency, key, service, method, path, repeatable, value
    row 1, column name: the column occurs twice
    "#
    );
    insta::assert_snapshot!(render("name,value\nx,y\n"), @r#"
    row 1, column kind: the column is missing
    "#);
    insta::assert_snapshot!(render(""), @r#"
    sheet: the file is empty; the first row names the columns
    "#);
}

/// Guards against reporting a missing column once per row, and against requiring a column that no
/// row uses.
#[test]
fn missing_column_is_one_fault_and_only_if_a_row_needs_it() {
    let text = "kind,name,value\nsetting,deployment,x\nsetting,downtime_weight,1\n\
                setting,weight_loads,1\nservice,s,\n";
    assert_eq!(render(text), "accepted");
    insta::assert_snapshot!(render(&format!("{text}adapter,a,\nadapter,b,\n")), @r#"
    row 6, column model: the first row lacks the column, which rows of kind adapter need
    "#);
}

/// Guards against a weight that is rounded or accepted in another notation, such as `1e-1`.
#[test]
fn downtime_weight_has_at_most_three_decimals() {
    let weight = |value: &str| {
        let text = format!(
            "kind,name,value\nsetting,deployment,x\nsetting,downtime_weight,{value}\n\
             setting,weight_loads,1\n"
        );
        parse(&text).ok().map(|sheet| sheet.settings.downtime_weight)
    };
    for (value, expected) in [("0", 0), ("1", 1_000), ("1.0", 1_000), ("0.05", 50), ("0.999", 999)]
    {
        assert_eq!(weight(value), Some(expected), "{value}");
    }
    for value in ["", "1.001", "2", "-0.5", "0.1234", "0.", ".5", "0,5", "1e-1", "NaN", "00.5"] {
        assert_eq!(weight(value), None, "{value}");
    }
}

/// Guards against accepting a sheet that does not fit into a log record or into memory, and against
/// off-by-one errors in the limits.
#[test]
fn oversized_sheets_are_refused() {
    let large = format!("{HEADER}{}", " ".repeat(MAX_SHEET_BYTES));
    insta::assert_snapshot!(render(&large), @r#"
    sheet: the file has more than 1000000 bytes
    "#);

    let rows = |count: usize| {
        let services: String =
            (0..count).map(|n| format!("service,s{n}{}\n", ",".repeat(20))).collect();
        render(&format!("{HEADER}{SETTINGS}{services}"))
    };
    assert_eq!(rows(MAX_ROWS - 4), "accepted");
    assert_eq!(rows(MAX_ROWS - 3), format!("sheet: the file has more than {MAX_ROWS} rows"));

    let field = |length: usize| {
        render_rows(&format!(
            "service,s,,,,,,,,,,,,,,,,,,,,\ncall,,,,,,,,,,,,,,,,,s,GET,/{},no,\n",
            "p".repeat(length - 1)
        ))
    };
    assert_eq!(field(MAX_FIELD_BYTES), "accepted");
    assert_eq!(
        field(MAX_FIELD_BYTES + 1),
        "row 6, column path: the value has 201 bytes; at most 200 are allowed"
    );
}

/// Guards against line numbers that differ from those of an editor.
#[test]
fn rows_are_lines_of_the_file_despite_blank_lines_and_quoted_line_breaks() {
    let text = format!("{HEADER}\r\n\n{SETTINGS}\n\"service\",\"a\nb\"\nservice,c d\n");
    insta::assert_snapshot!(render(&text), @r#"
    row 8, column name: `a b` is not a name: 1 to 64 of A-Z, a-z, 0-9 and -_., starting with a letter or digit
    row 10, column name: `c d` is not a name: 1 to 64 of A-Z, a-z, 0-9 and -_., starting with a letter or digit
    "#);
}

/// Guards against a bearer key that reaches a log or terminal as part of a fault.
#[test]
fn rejected_key_is_not_repeated_in_the_fault() {
    assert!(!render_rows("team,t,,,,,,,,,,,,1,1,1,my-secret-key,,,,,\n").contains("my-secret"));
}

/// Guards against a panic on a damaged sheet, against line numbers beyond the end of the file and
/// against control characters in faults.
#[test]
fn damaged_sheets_yield_faults_that_lie_in_the_file() {
    let text = include_str!("../../../examples/naidoo.csv");
    let lines = text.lines().count() as u64;
    let replacements = [',', '"', '\n', '\r', '\u{feff}', '\0', 'ž', '9', ' '];
    // Replaces every 41st character by each of the replacements, in a fixed order.
    for (position, _) in text.char_indices().step_by(41) {
        for replacement in replacements {
            let damaged = format!("{}{replacement}{}", &text[..position], &text[position + 1..]);
            for fault in parse(&damaged).err().unwrap_or_default() {
                assert!(fault.row <= lines + 1, "{fault} after {replacement:?} at {position}");
                assert!(!fault.cause.contains(['\n', '\0']), "{fault:?} has control characters");
            }
        }
    }
}
