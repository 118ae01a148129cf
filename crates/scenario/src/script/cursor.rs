//! Cursor over the words of one line.

use {
    super::{ScriptError, ScriptWord},
    std::collections::VecDeque,
};

/// The unread words of a line.
#[derive(Debug)]
pub(crate) struct LineCursor {
    words: VecDeque<ScriptWord>,
    line: usize,
    end_column: usize,
}

impl LineCursor {
    pub(crate) fn new(line: usize, words: Vec<ScriptWord>) -> Self {
        let end_column = words.last().map_or(1, |word| word.column + word.text.chars().count());
        Self { words: words.into(), line, end_column }
    }

    /// Takes the next word, or fails with what was `expected`.
    pub(crate) fn take(&mut self, expected: &str) -> Result<ScriptWord, ScriptError> {
        self.words.pop_front().ok_or_else(|| {
            ScriptError::new(self.line, self.end_column, format!("expected {expected}"))
        })
    }

    /// Takes the next word if it is `text`.
    pub(crate) fn take_if(&mut self, text: &str) -> bool {
        let is_next = self.words.front().is_some_and(|word| word.text == text);
        if is_next {
            self.words.pop_front();
        }
        is_next
    }

    /// Takes the word `text`, which must be next.
    pub(crate) fn expect(&mut self, text: &str) -> Result<(), ScriptError> {
        let word = self.take(text)?;
        if word.text == text { Ok(()) } else { Err(word.error(format!("expected {text}"))) }
    }

    /// Takes `for DURATION` if it is next.
    pub(crate) fn take_for_ms(&mut self) -> Result<Option<u64>, ScriptError> {
        if !self.take_if("for") {
            return Ok(None);
        }
        self.take("a duration")?.duration_ms().map(Some)
    }

    /// Takes the next word if it is a `key=value` setting; any other word is an error.
    pub(crate) fn take_setting(&mut self) -> Result<Option<(ScriptWord, ScriptWord)>, ScriptError> {
        let Some(word) = self.words.pop_front() else {
            return Ok(None);
        };
        let (key, value) =
            word.setting().ok_or_else(|| word.error("expected a setting such as name=value"))?;
        let key = ScriptWord { line: word.line, column: word.column, text: key.to_owned() };
        Ok(Some((key, value)))
    }

    /// Checks that no word is left.
    pub(crate) fn finish(&mut self) -> Result<(), ScriptError> {
        match self.words.pop_front() {
            Some(word) => Err(word.error(format!("unexpected {}", word.text))),
            None => Ok(()),
        }
    }
}
