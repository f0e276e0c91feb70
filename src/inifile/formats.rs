//! Value formats that settings and tickets share.

use std::net::SocketAddr;
use std::time::Duration;

use crate::inifile::ValueFormat;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum duration.
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 60 * 60);

/// An IP address and a port.
pub const ADDRESS: ValueFormat<SocketAddr> = ValueFormat {
    expected: "an IP address and port such as `127.0.0.1:9001`",
    parse: |text| text.parse().ok(),
};

/// One or more addresses, separated by spaces.
pub const ADDRESSES: ValueFormat<Vec<SocketAddr>> = ValueFormat {
    expected: "one or more addresses set apart by spaces, such as `10.0.0.1:9001 10.0.0.2:9001`",
    parse: |text| parse_list(text, |word| word.parse().ok()),
};

/// A name of at most [`MAX_NAME_BYTES`] letters, digits, `-`, `_` and `.`.
pub const NAME: ValueFormat<String> = ValueFormat {
    expected: "a name of at most 64 letters, digits, `-`, `_` or `.`",
    parse: |text| is_valid_name(text).then(|| text.to_owned()),
};

/// A duration with its unit, above 0 and at most [`MAX_DURATION`].
pub const DURATION: ValueFormat<Duration> = ValueFormat {
    expected: "a duration with its unit (ms, s, min, h or d) above 0, such as `500 ms` or `2 h`",
    parse: parse_duration,
};

/// A duration with its unit, or `none`.
pub const OPTIONAL_DURATION: ValueFormat<Option<Duration>> = ValueFormat {
    expected: "`none`, or a duration with its unit, such as `30 s`",
    parse: |text| match text {
        "none" => Some(None),
        _ => parse_duration(text).map(Some),
    },
};

/// A whole percentage from 0 to 100.
pub const PERCENT: ValueFormat<u8> = ValueFormat {
    expected: "a whole percentage from 0 % to 100 %, such as `30 %`",
    parse: |text| parse_in_range(strip_unit(text, "%")?, 0, 100),
};

/// `yes` or `no`.
pub const FLAG: ValueFormat<bool> = ValueFormat {
    expected: "`yes` or `no`",
    parse: |text| match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    },
};

/// A size with its unit, above 0; parsed into bytes.
pub const SIZE: ValueFormat<u64> = ValueFormat {
    expected: "a size with its unit (B, KB, MB or GB) above 0, such as `64 KB`",
    parse: parse_size,
};

/// Formats a duration as [`DURATION`] parses it, in the largest unit that divides it.
pub fn format_duration(duration: Duration) -> String {
    let ms = duration.as_millis();
    let units = [
        (86_400_000, "d"),
        (3_600_000, "h"),
        (60_000, "min"),
        (1_000, "s"),
    ];
    let fits = units
        .iter()
        .find(|(unit_ms, _)| ms > 0 && ms.is_multiple_of(*unit_ms));
    let (unit_ms, unit) = fits.copied().unwrap_or((1, "ms"));
    format!("{} {unit}", ms / unit_ms)
}

/// Parses each word of a text with `parse`. Returns `None` if a word is not valid or there is none.
pub fn parse_list<T>(text: &str, parse: fn(&str) -> Option<T>) -> Option<Vec<T>> {
    let words: Vec<T> = text.split_whitespace().map(parse).collect::<Option<_>>()?;
    (!words.is_empty()).then_some(words)
}

/// Parses a whole number from `low` to `high` that consists of digits only.
pub fn parse_in_range<T>(text: &str, low: T, high: T) -> Option<T>
where
    T: std::str::FromStr + PartialOrd,
{
    let plain = text.bytes().all(|byte| byte.is_ascii_digit());
    let number = text.parse().ok().filter(|_| plain)?;
    (low <= number && number <= high).then_some(number)
}

/// Returns the text before a unit, without trailing spaces. Returns `None` if the unit is missing.
pub fn strip_unit<'a>(text: &'a str, unit: &str) -> Option<&'a str> {
    text.strip_suffix(unit).map(str::trim_end)
}

/// Returns true if the text is valid as a [`NAME`].
pub fn is_valid_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed)
}

fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    let unit_ms: u64 = match unit {
        "ms" => 1,
        "s" => 1_000,
        "min" => 60_000,
        "h" => 3_600_000,
        "d" => 86_400_000,
        _ => return None,
    };
    let duration = Duration::from_millis(number.checked_mul(unit_ms)?);
    (!duration.is_zero() && duration <= MAX_DURATION).then_some(duration)
}

fn parse_size(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let unit_bytes: u64 = match unit {
        "B" => 1,
        "KB" => 1 << 10,
        "MB" => 1 << 20,
        "GB" => 1 << 30,
        _ => return None,
    };
    number.checked_mul(unit_bytes).filter(|&bytes| bytes > 0)
}

fn split_unit(text: &str) -> Option<(u64, &str)> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    Some((number.parse().ok()?, unit.trim_start()))
}
