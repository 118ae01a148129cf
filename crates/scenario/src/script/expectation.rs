//! Parses `expect` lines.

use super::{AnswerCount, Comparison, ExpectKind, LineCursor, ScriptError, ScriptWord};

fn take_comparison(cursor: &mut LineCursor) -> Result<(Comparison, u64), ScriptError> {
    let word = cursor.take("a comparison")?;
    let compare = match word.text.as_str() {
        ">=" => Comparison::AtLeast,
        "<=" => Comparison::AtMost,
        "<" => Comparison::Below,
        "=" => Comparison::Equal,
        _ => return Err(word.error("expected >=, <=, < or =")),
    };
    Ok((compare, cursor.take("a number")?.number()?))
}

fn take_below(cursor: &mut LineCursor) -> Result<u64, ScriptError> {
    cursor.expect("<")?;
    cursor.take("a duration")?.duration_ms()
}

fn take_tag(cursor: &mut LineCursor) -> Result<Option<String>, ScriptError> {
    if !cursor.take_if("of") {
        return Ok(None);
    }
    cursor.take("a tag").map(|word| Some(word.text))
}

fn parse_answer_count(word: &ScriptWord) -> Result<AnswerCount, ScriptError> {
    match word.text.as_str() {
        "done" => Ok(AnswerCount::Done),
        "failed" => Ok(AnswerCount::Failed),
        "not_run" => Ok(AnswerCount::NotRun),
        "unknown" => Ok(AnswerCount::Unknown),
        "broken" => Ok(AnswerCount::Broken),
        "all" => Ok(AnswerCount::All),
        _ => Err(word.error("expected done, failed, not_run, unknown, broken or all")),
    }
}

/// Parses an expectation after the word `expect`.
pub(crate) fn take_expect_kind(cursor: &mut LineCursor) -> Result<ExpectKind, ScriptError> {
    let word = cursor.take("what to expect")?;
    match word.text.as_str() {
        "answers" => {
            let count = parse_answer_count(&cursor.take("an outcome")?)?;
            let tag = take_tag(cursor)?;
            let (compare, bound) = take_comparison(cursor)?;
            Ok(ExpectKind::Answers { count, tag, compare, bound })
        }
        "jobs-ended" => Ok(ExpectKind::JobsEnded { tag: take_tag(cursor)? }),
        "jobs-parked" => {
            cursor.expect("of")?;
            Ok(ExpectKind::JobsParked { tag: cursor.take("a tag")?.text })
        }
        "starts" => {
            cursor.expect("of")?;
            let tag = cursor.take("a tag")?.text;
            let (compare, bound) = take_comparison(cursor)?;
            Ok(ExpectKind::Starts { tag, compare, bound })
        }
        "takeover" => Ok(ExpectKind::Takeover { bound_ms: take_below(cursor)? }),
        "start-delay" => {
            cursor.expect("of")?;
            let tag = cursor.take("a tag")?.text;
            Ok(ExpectKind::StartDelay { tag, bound_ms: take_below(cursor)? })
        }
        "changes-accepted" => {
            cursor.expect(">=")?;
            let at_least = cursor.take("a number")?.number()?;
            Ok(ExpectKind::ChangesAccepted { at_least })
        }
        "exit" => Ok(ExpectKind::Exit { bound_ms: take_below(cursor)? }),
        other => Err(word.error(format!("unknown expectation {other}"))),
    }
}
