//! Parsing of memory sizes with units.

use std::str::FromStr;

const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;
const GIB: u64 = 1 << 30;

/// A memory size, written as `512MiB`, `2GiB` or a plain number of bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ByteSize(pub(crate) u64);

impl FromStr for ByteSize {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let digits_end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, unit) = text.split_at(digits_end);
        let unit_bytes = match unit {
            "" | "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(format!("unknown unit {unit:?}; use B, KiB, MiB or GiB")),
        };
        let count: u64 = digits.parse().map_err(|_| "expected a number such as 512MiB")?;
        let bytes = count.checked_mul(unit_bytes).ok_or("too large")?;
        Ok(Self(bytes))
    }
}
