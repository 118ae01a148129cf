//! Parses faults and their targets.

use {
    super::{ChaosFault, FaultKind, FaultTarget, LineCursor, ScriptError, ScriptWord},
    damaskrack_model::TeamName,
    damaskrack_ownership::PieceName,
};

fn parse_target(word: &ScriptWord) -> Result<FaultTarget, ScriptError> {
    let indexed = |prefix: &str| -> Option<usize> {
        let number: usize = word.text.strip_prefix(prefix)?.parse().ok()?;
        number.checked_sub(1)
    };
    if let Some(node) = indexed("node-") {
        return Ok(FaultTarget::Node(node));
    }
    if let Some(worker) = indexed("worker-") {
        return Ok(FaultTarget::Worker(worker));
    }
    match word.text.as_str() {
        "store" => Ok(FaultTarget::Store),
        "any-node" => Ok(FaultTarget::AnyNode),
        "any-worker" => Ok(FaultTarget::AnyWorker),
        "all-nodes" => Ok(FaultTarget::AllNodes),
        "all-workers" => Ok(FaultTarget::AllWorkers),
        _ => Err(word.error(format!(
            "expected node-N, worker-N, store, owner-of PIECE, any-node, any-worker, all-nodes or \
             all-workers, found {}",
            word.text
        ))),
    }
}

fn parse_piece(word: &ScriptWord) -> Result<PieceName, ScriptError> {
    word.text.parse().map_err(|_| word.error("expected team/NAME or rack/NAME"))
}

/// Parses a target: one word or `owner-of PIECE`.
pub(crate) fn take_target(cursor: &mut LineCursor) -> Result<FaultTarget, ScriptError> {
    if cursor.take_if("owner-of") {
        let word = cursor.take("team/NAME or rack/NAME")?;
        return parse_piece(&word).map(FaultTarget::OwnerOf);
    }
    parse_target(&cursor.take("a target")?)
}

/// Parses a target within a setting, where an owner is written as `owner-of:PIECE`.
pub(crate) fn parse_setting_target(word: &ScriptWord) -> Result<FaultTarget, ScriptError> {
    match word.text.strip_prefix("owner-of:") {
        Some(piece) => {
            let piece = ScriptWord { text: piece.to_owned(), ..word.clone() };
            parse_piece(&piece).map(FaultTarget::OwnerOf)
        }
        None => parse_target(word),
    }
}

fn take_path_ends(cursor: &mut LineCursor) -> Result<Vec<FaultTarget>, ScriptError> {
    if cursor.take_if("owner-of") {
        let word = cursor.take("team/NAME or rack/NAME")?;
        return Ok(vec![FaultTarget::OwnerOf(parse_piece(&word)?)]);
    }
    cursor
        .take("targets between commas")?
        .comma_separated()
        .iter()
        .map(parse_setting_target)
        .collect()
}

fn take_cut(cursor: &mut LineCursor) -> Result<FaultKind, ScriptError> {
    let from = take_path_ends(cursor)?;
    let arrow = cursor.take("-> or <->")?;
    let is_both = match arrow.text.as_str() {
        "->" => false,
        "<->" => true,
        _ => return Err(arrow.error("expected -> or <->")),
    };
    Ok(FaultKind::Cut { from, to: take_path_ends(cursor)?, is_both })
}

fn take_store_fault(cursor: &mut LineCursor) -> Result<FaultKind, ScriptError> {
    let word = cursor.take("down, slow or loses")?;
    match word.text.as_str() {
        "down" => Ok(FaultKind::StoreDown),
        "slow" => {
            cursor.expect("by")?;
            Ok(FaultKind::StoreSlow(cursor.take("a duration")?.duration_ms()?))
        }
        "loses" => {
            let word = cursor.take("a percentage such as 50%")?;
            let percent = word.text.strip_suffix('%').and_then(|text| text.parse().ok());
            match percent {
                Some(percent @ 1..=100) => Ok(FaultKind::StoreLoses(percent)),
                _ => Err(word.error("expected a percentage from 1% to 100%")),
            }
        }
        _ => Err(word.error("expected down, slow or loses")),
    }
}

fn take_slow_worker(cursor: &mut LineCursor) -> Result<FaultKind, ScriptError> {
    let target = take_target(cursor)?;
    cursor.expect("by")?;
    Ok(FaultKind::SlowWorker { target, millis: cursor.take("a duration")?.duration_ms()? })
}

/// Parses a fault whose verb has been taken; `None` if the verb is not a fault.
pub(crate) fn take_fault(
    verb: &ScriptWord,
    cursor: &mut LineCursor,
) -> Result<Option<FaultKind>, ScriptError> {
    let fault = match verb.text.as_str() {
        "kill" => FaultKind::Kill(take_target(cursor)?),
        "restart" => FaultKind::Restart(take_target(cursor)?),
        "pause" => FaultKind::Pause(take_target(cursor)?),
        "shutdown" => FaultKind::Shutdown(take_target(cursor)?),
        "freeze" => FaultKind::Freeze(take_target(cursor)?),
        "crash" => FaultKind::Crash(take_target(cursor)?),
        "spoil" => FaultKind::Spoil(take_target(cursor)?),
        "leave" => FaultKind::Leave(take_target(cursor)?),
        "slow" => take_slow_worker(cursor)?,
        "hosts" => {
            cursor.expect("down")?;
            FaultKind::HostsDown
        }
        "cut" => take_cut(cursor)?,
        "silence" => match take_cut(cursor)? {
            FaultKind::Cut { from, to, .. } => FaultKind::Silence { from, to },
            other => other,
        },
        "store" => take_store_fault(cursor)?,
        _ => return Ok(None),
    };
    Ok(Some(fault))
}

/// Parses a kind of random fault.
pub(crate) fn parse_chaos_fault(word: &ScriptWord) -> Result<ChaosFault, ScriptError> {
    Ok(match word.text.as_str() {
        "kill" => ChaosFault::Kill,
        "pause" => ChaosFault::Pause,
        "shutdown" => ChaosFault::Shutdown,
        "cut" => ChaosFault::Cut,
        "cut-store" => ChaosFault::CutStore,
        "cut-worker" => ChaosFault::CutWorker,
        "silence" => ChaosFault::Silence,
        "store-down" => ChaosFault::StoreDown,
        "store-slow" => ChaosFault::StoreSlow,
        "store-loses" => ChaosFault::StoreLoses,
        "freeze" => ChaosFault::Freeze,
        "crash" => ChaosFault::Crash,
        "spoil" => ChaosFault::Spoil,
        "slow" => ChaosFault::SlowWorker,
        "hosts-down" => ChaosFault::HostsDown,
        "zone" => ChaosFault::Zone,
        "limit" => ChaosFault::Limit,
        _ => return Err(word.error(format!("unknown random fault {}", word.text))),
    })
}

/// Parses a team's name.
pub(crate) fn parse_team(word: &ScriptWord) -> Result<TeamName, ScriptError> {
    word.name()
}
