//! Parsing of times on the command line.

/// Parses a time and returns it in ms since the Unix epoch.
///
/// The text is either that number or a date and time in UTC in the format in which events are
/// printed: `2026-12-04T06:00`, optionally with seconds, milliseconds of three digits and a `Z`.
pub fn parse(text: &str) -> Option<u64> {
    if !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit()) {
        return text.parse().ok();
    }
    let text = text.strip_suffix('Z').unwrap_or(text);
    let (date, time) = text.split_once('T')?;
    let [year, month, day] = parse_fields(date, '-', [4, 2, 2])?;
    let (time, milli) = time.split_once('.').unwrap_or((time, "000"));
    let [milli] = parse_fields(milli, '.', [3])?;
    let [hour, minute, second] = match time.len() {
        5 => {
            let [hour, minute] = parse_fields(time, ':', [2, 2])?;
            [hour, minute, 0]
        }
        _ => parse_fields(time, ':', [2, 2, 2])?,
    };
    let leap = year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400));
    let days = match month {
        2 if leap => 29,
        2 => 28,
        4 | 6 | 9 | 11 => 30,
        1..=12 => 31,
        _ => return None,
    };
    if year < 1970 || !(1..=days).contains(&day) || hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    // Days since 1970-01-01. The years of this calculation start on 1 March, so that a leap day is
    // the last day of its year; 719,468 is the number of days from 0000-03-01 to 1970-01-01.
    let (shifted_year, shifted_month) =
        if month > 2 { (year, month - 3) } else { (year - 1, month + 9) };
    let leaps = shifted_year / 4 - shifted_year / 100 + shifted_year / 400;
    let days = 365 * shifted_year + leaps + (153 * shifted_month + 2) / 5 + day - 1 - 719_468;
    Some((((days * 24 + hour) * 60 + minute) * 60 + second) * 1_000 + milli)
}

/// Parses `N` decimal numbers of fixed widths that are separated by `separator`.
fn parse_fields<const N: usize>(
    text: &str,
    separator: char,
    widths: [usize; N],
) -> Option<[u64; N]> {
    let mut numbers = [0; N];
    let mut parts = text.split(separator);
    for (number, width) in numbers.iter_mut().zip(widths) {
        let part = parts.next()?;
        let valid = part.len() == width && part.bytes().all(|byte| byte.is_ascii_digit());
        *number = part.parse().ok().filter(|_| valid)?;
    }
    parts.next().is_none().then_some(numbers)
}
