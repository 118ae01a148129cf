//! Parses operators' changes of the manifest.

use super::{
    LineCursor, ManifestEdit, ScriptError, ScriptWord, fault::parse_team, word::number_u32,
};

/// Parses a change whose verb has been taken.
pub(crate) fn take_edit(
    verb: &ScriptWord,
    cursor: &mut LineCursor,
) -> Result<ManifestEdit, ScriptError> {
    match verb.text.as_str() {
        "zone" => {
            let zone = cursor.take("a zone's name")?.name()?;
            let word = cursor.take("in or out")?;
            match word.text.as_str() {
                "in" => Ok(ManifestEdit::Zone { zone, is_in: true }),
                "out" => Ok(ManifestEdit::Zone { zone, is_in: false }),
                _ => Err(word.error("expected in or out")),
            }
        }
        "withdraw" => Ok(ManifestEdit::Withdraw { key: cursor.take("a key's name")?.name()? }),
        "grant" => {
            let key = cursor.take("a key's name")?.name()?;
            let team = parse_team(&cursor.take("a team's name")?)?;
            Ok(ManifestEdit::Grant { key, team })
        }
        "share" => {
            let team = parse_team(&cursor.take("a team's name")?)?;
            let share = number_u32(&cursor.take("a share")?)?;
            Ok(ManifestEdit::Share { team, share })
        }
        _ => take_limit_edit(cursor),
    }
}

fn take_limit_edit(cursor: &mut LineCursor) -> Result<ManifestEdit, ScriptError> {
    let team = parse_team(&cursor.take("a team's name")?)?;
    let word = cursor.take("tasks=N or millicores=N")?;
    match word.setting() {
        Some(("tasks", value)) => {
            let tasks = Some(number_u32(&value)?);
            Ok(ManifestEdit::Limit { team, tasks, millicores: None })
        }
        Some(("millicores", value)) => {
            let millicores = Some(value.number()?);
            Ok(ManifestEdit::Limit { team, tasks: None, millicores })
        }
        _ => Err(word.error("expected tasks=N or millicores=N")),
    }
}
