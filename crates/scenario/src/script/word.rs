//! Lexer of script lines and parsers of single words.
//!
//! A line consists of words separated by blanks. Each word keeps its column, so that later checks
//! can report the position of an error without the raw text.

use {
    super::ScriptError,
    winnow::{
        LocatingSlice, ModalResult, Parser,
        ascii::digit1,
        combinator::{alt, eof, opt, preceded, repeat, separated_pair, terminated},
        token::take_while,
    },
};

/// A word with its position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ScriptWord {
    pub(crate) line: usize,
    pub(crate) column: usize,
    pub(crate) text: String,
}

fn is_word_character(c: char) -> bool {
    !c.is_whitespace() && !c.is_control() && c != '#'
}

fn blank0<'a>(input: &mut LocatingSlice<&'a str>) -> ModalResult<&'a str> {
    take_while(0.., [' ', '\t', '\r']).parse_next(input)
}

fn comment<'a>(input: &mut LocatingSlice<&'a str>) -> ModalResult<&'a str> {
    preceded('#', take_while(0.., |_| true)).parse_next(input)
}

fn words(input: &mut LocatingSlice<&str>) -> ModalResult<Vec<(String, std::ops::Range<usize>)>> {
    let word = take_while(1.., is_word_character).map(str::to_owned).with_span();
    let list = preceded(blank0, repeat(0.., terminated(word, blank0)));
    terminated(list, (opt(comment), eof)).parse_next(input)
}

/// Splits a line into words; `#` starts a comment.
pub(crate) fn split_line(line: usize, text: &str) -> Result<Vec<ScriptWord>, ScriptError> {
    let found = words.parse(LocatingSlice::new(text)).map_err(|error| {
        let column = text.get(..error.offset()).map_or(0, |head| head.chars().count()) + 1;
        ScriptError::new(line, column, "a control character is not allowed here")
    })?;
    let column_at = |start: usize| text.get(..start).map_or(0, |head| head.chars().count()) + 1;
    Ok(found
        .into_iter()
        .map(|(text, span)| ScriptWord { line, column: column_at(span.start), text })
        .collect())
}

fn number(input: &mut &str) -> ModalResult<u64> {
    digit1.parse_to().parse_next(input)
}

fn duration(input: &mut &str) -> ModalResult<u64> {
    let unit = alt(("ms".value(1), "s".value(1_000), "m".value(60_000)));
    (number, unit).map(|(count, factor): (u64, u64)| count.saturating_mul(factor)).parse_next(input)
}

fn bytes(input: &mut &str) -> ModalResult<u64> {
    let unit = alt(("k".value(1 << 10), "m".value(1 << 20), "g".value(1 << 30)));
    (number, opt(unit))
        .map(|(count, factor): (u64, Option<u64>)| count.saturating_mul(factor.unwrap_or(1)))
        .parse_next(input)
}

fn range(input: &mut &str) -> ModalResult<(u64, u64)> {
    separated_pair(number, "..", number).parse_next(input)
}

impl ScriptWord {
    /// Makes an error at the position of this word.
    pub(crate) fn error(&self, reason: impl Into<String>) -> ScriptError {
        ScriptError::new(self.line, self.column, reason)
    }

    /// Parses the word as a whole number.
    pub(crate) fn number(&self) -> Result<u64, ScriptError> {
        number.parse(&self.text).map_err(|_| self.error("expected a whole number"))
    }

    /// Parses the word as a duration such as `250ms` or `3s`, in milliseconds.
    pub(crate) fn duration_ms(&self) -> Result<u64, ScriptError> {
        duration.parse(&self.text).map_err(|_| {
            self.error(format!("expected a duration such as 250ms or 3s, found {}", self.text))
        })
    }

    /// Parses the word as a size such as `512m` or `4g`, in bytes.
    pub(crate) fn bytes(&self) -> Result<u64, ScriptError> {
        bytes.parse(&self.text).map_err(|_| self.error("expected a size such as 512m or 4g"))
    }

    /// Parses the word as a range `A..B` that includes both ends.
    pub(crate) fn range(&self) -> Result<(u64, u64), ScriptError> {
        let (first, last) =
            range.parse(&self.text).map_err(|_| self.error("expected a range such as 1..20"))?;
        if first > last {
            return Err(self.error("the range is empty"));
        }
        Ok((first, last))
    }

    /// Parses the word as `yes` or `no`.
    pub(crate) fn flag(&self) -> Result<bool, ScriptError> {
        match self.text.as_str() {
            "yes" => Ok(true),
            "no" => Ok(false),
            _ => Err(self.error("expected yes or no")),
        }
    }

    /// Parses the word as a name.
    pub(crate) fn name<N: std::str::FromStr<Err = damaskrack_model::NameError>>(
        &self,
    ) -> Result<N, ScriptError> {
        self.text
            .parse()
            .map_err(|error: damaskrack_model::NameError| self.error(error.to_string()))
    }

    /// Splits `key=value` and keeps the position of the value.
    pub(crate) fn setting(&self) -> Option<(&str, Self)> {
        let (key, value) = self.text.split_once('=')?;
        let column = self.column + key.chars().count() + 1;
        Some((key, Self { line: self.line, column, text: value.to_owned() }))
    }

    /// Splits a list at its commas and keeps the position of each element.
    pub(crate) fn comma_separated(&self) -> Vec<Self> {
        let mut column = self.column;
        let mut parts = Vec::new();
        for text in self.text.split(',') {
            parts.push(Self { line: self.line, column, text: text.to_owned() });
            column += text.chars().count() + 1;
        }
        parts
    }
}

/// Parses a word as a number that fits into 32 bits.
pub(crate) fn number_u32(word: &ScriptWord) -> Result<u32, ScriptError> {
    u32::try_from(word.number()?).map_err(|_| word.error("the number is too large"))
}
