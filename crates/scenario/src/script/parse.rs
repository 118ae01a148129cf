//! Parses a whole script.

use {
    super::{
        BoundPlan, CellPlan, ChaosPlan, LineCursor, ScenarioScript, ScriptAction, ScriptError,
        ScriptExpect, ScriptStep, ScriptWord, StepTiming,
        edit::take_edit,
        expectation::take_expect_kind,
        fault::{parse_chaos_fault, parse_setting_target, parse_team, take_fault},
        split_line,
        submit::{parse_priority, take_submit},
        word::number_u32,
    },
    damaskrack_manifest::{
        ManifestDocument, QueueEntry, TeamEntry, TeamLimit, ZoneEntry, ZoneState, make_key,
    },
    damaskrack_model::{KeyName, PriorityClass, Resources},
    std::collections::BTreeMap,
};

/// Default duration of a run, in milliseconds.
const DEFAULT_RUN_MS: u64 = 60_000;

/// Maximum of each count in a `cell` line.
const MAX_HOSTS: u64 = 512;

/// Fixed salt of all scenario keys, which protect nothing.
const KEY_SALT: &[u8; 16] = b"scenario-salt-16";

impl ScenarioScript {
    /// Parses a script.
    ///
    /// # Errors
    ///
    /// Returns the line, the column and the reason of the first error.
    ///
    /// # Examples
    ///
    /// ```
    /// use damaskrack_scenario::ScenarioScript;
    ///
    /// let script = ScenarioScript::parse("cell nodes=2 racks=1\nseeds 3..4\n")?;
    /// assert_eq!(script.seeds(), (3, 4));
    /// let error = ScenarioScript::parse("cell nodes=two").unwrap_err();
    /// assert_eq!((error.line, error.column), (1, 12));
    /// # Ok::<(), damaskrack_scenario::ScriptError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ScriptError> {
        let mut script = Self::empty();
        for (index, line) in text.lines().enumerate() {
            let words = split_line(index + 1, line)?;
            if !words.is_empty() {
                let mut cursor = LineCursor::new(index + 1, words);
                script.take_line(&mut cursor, line)?;
                cursor.finish()?;
            }
        }
        script.declare_zones();
        Ok(script)
    }

    fn empty() -> Self {
        Self {
            cell: CellPlan::default(),
            bounds: BoundPlan::default(),
            document: ManifestDocument::default(),
            secrets: BTreeMap::new(),
            seeds: (1, 1),
            run_ms: DEFAULT_RUN_MS,
            needs_processes: false,
            steps: Vec::new(),
            chaos: Vec::new(),
            expects: Vec::new(),
        }
    }

    fn declare_zones(&mut self) {
        for index in 1..=self.cell.zones {
            let Ok(name) = format!("zone-{index}").parse() else { continue };
            self.document.zones.push(ZoneEntry { name, state: ZoneState::In });
        }
    }

    fn take_line(&mut self, cursor: &mut LineCursor, text: &str) -> Result<(), ScriptError> {
        let verb = cursor.take("a directive")?;
        match verb.text.as_str() {
            "cell" => take_cell(&mut self.cell, cursor),
            "bounds" => take_bounds(&mut self.bounds, cursor),
            "team" => self.take_team(cursor),
            "key" => self.take_key(cursor),
            "queue" => self.take_queue(cursor),
            "seeds" => {
                self.seeds = cursor.take("a range such as 1..20")?.range()?;
                Ok(())
            }
            "run" => {
                self.run_ms = cursor.take("a duration")?.duration_ms()?;
                Ok(())
            }
            "processes" => {
                self.needs_processes = true;
                Ok(())
            }
            "at" | "every" => self.take_step(&verb, cursor),
            "random-faults" => self.take_chaos(cursor),
            "expect" => self.take_expect(&verb, cursor, text),
            other => Err(verb.error(format!("unknown directive {other}"))),
        }
    }

    fn take_team(&mut self, cursor: &mut LineCursor) -> Result<(), ScriptError> {
        let name = parse_team(&cursor.take("a team's name")?)?;
        let resources = Resources {
            millicores: u64::from(u32::MAX),
            memory_bytes: 1 << 50,
            accelerators: 1 << 20,
        };
        let mut entry = TeamEntry { name, share: 1, limit: TeamLimit { tasks: 10_000, resources } };
        while let Some((key, value)) = cursor.take_setting()? {
            match key.text.as_str() {
                "share" => entry.share = number_u32(&value)?,
                "tasks" => entry.limit.tasks = number_u32(&value)?,
                "millicores" => entry.limit.resources.millicores = value.number()?,
                "memory" => entry.limit.resources.memory_bytes = value.bytes()?,
                "accelerators" => entry.limit.resources.accelerators = value.number()?,
                other => return Err(key.error(format!("unknown setting {other}"))),
            }
        }
        self.document.teams.push(entry);
        Ok(())
    }

    fn take_key(&mut self, cursor: &mut LineCursor) -> Result<(), ScriptError> {
        let name: KeyName = cursor.take("a key's name")?.name()?;
        let word = cursor.take("team=NAME")?;
        let Some(("team", value)) = word.setting() else {
            return Err(word.error("expected team=NAME"));
        };
        let team = parse_team(&value)?;
        if !self.document.teams.iter().any(|entry| entry.name == team) {
            return Err(value.error("this team is not declared above"));
        }
        let secret = format!("secret-of-{name}");
        self.document.keys.push(make_key(&name, &team, &secret, KEY_SALT));
        self.secrets.insert(name, secret);
        Ok(())
    }

    fn take_queue(&mut self, cursor: &mut LineCursor) -> Result<(), ScriptError> {
        let name = cursor.take("a queue's name")?.name()?;
        let word = cursor.take("team=NAME")?;
        let Some(("team", value)) = word.setting() else {
            return Err(word.error("expected team=NAME"));
        };
        let team = parse_team(&value)?;
        if !self.document.teams.iter().any(|entry| entry.name == team) {
            return Err(value.error("this team is not declared above"));
        }
        let mut entry =
            QueueEntry { name, team, open: false, highest_priority: PriorityClass::Urgent };
        while let Some((key, value)) = cursor.take_setting()? {
            match key.text.as_str() {
                "open" => entry.open = value.flag()?,
                "highest" => entry.highest_priority = parse_priority(&value)?,
                other => return Err(key.error(format!("unknown setting {other}"))),
            }
        }
        self.document.queues.push(entry);
        Ok(())
    }

    fn take_step(&mut self, verb: &ScriptWord, cursor: &mut LineCursor) -> Result<(), ScriptError> {
        let first = cursor.take("a duration")?.duration_ms()?;
        let timing =
            if verb.text == "at" { StepTiming::At(first) } else { take_every(first, cursor)? };
        let word = cursor.take("an action")?;
        let action = self.take_action(&word, cursor)?;
        self.steps.push(ScriptStep { line: word.line, timing, action });
        Ok(())
    }

    fn take_action(
        &self,
        verb: &ScriptWord,
        cursor: &mut LineCursor,
    ) -> Result<ScriptAction, ScriptError> {
        match verb.text.as_str() {
            "request" | "job" => {
                take_submit(verb, cursor, &self.document).map(ScriptAction::Submit)
            }
            "cancel" => Ok(ScriptAction::Cancel { tag: cursor.take("a tag")?.text }),
            "zone" | "withdraw" | "grant" | "limit" | "share" => {
                let edit = take_edit(verb, cursor)?;
                let via = match cursor.take_setting()? {
                    Some((key, value)) if key.text == "via" => Some(parse_setting_target(&value)?),
                    Some((key, _)) => return Err(key.error("expected via=NODE")),
                    None => None,
                };
                Ok(ScriptAction::Operator { edit, via })
            }
            _ => match take_fault(verb, cursor)? {
                Some(fault) => Ok(ScriptAction::Fault { fault, for_ms: cursor.take_for_ms()? }),
                None => Err(verb.error(format!("unknown action {}", verb.text))),
            },
        }
    }

    fn take_chaos(&mut self, cursor: &mut LineCursor) -> Result<(), ScriptError> {
        cursor.expect("from")?;
        let from_ms = cursor.take("a duration")?.duration_ms()?;
        cursor.expect("to")?;
        let until_ms = cursor.take("a duration")?.duration_ms()?;
        cursor.expect("every")?;
        let every_ms = cursor.take("a duration")?.duration_ms()?.max(1);
        cursor.expect("longest")?;
        let longest_ms = cursor.take("a duration")?.duration_ms()?.max(1);
        cursor.expect("of")?;
        let words = cursor.take("faults between commas")?.comma_separated();
        let faults = words.iter().map(parse_chaos_fault).collect::<Result<_, _>>()?;
        self.chaos.push(ChaosPlan { from_ms, until_ms, every_ms, longest_ms, faults });
        Ok(())
    }

    fn take_expect(
        &mut self,
        verb: &ScriptWord,
        cursor: &mut LineCursor,
        text: &str,
    ) -> Result<(), ScriptError> {
        let kind = take_expect_kind(cursor)?;
        let by_ms = if cursor.take_if("by") {
            Some(cursor.take("a duration")?.duration_ms()?)
        } else {
            None
        };
        let text = text.trim().to_owned();
        self.expects.push(ScriptExpect { line: verb.line, by_ms, kind, text });
        Ok(())
    }
}

fn host_count(word: &ScriptWord) -> Result<usize, ScriptError> {
    let count = word.number()?;
    if count == 0 || count > MAX_HOSTS {
        return Err(word.error(format!("expected a number from 1 to {MAX_HOSTS}")));
    }
    usize::try_from(count).map_err(|_| word.error("the number is too large"))
}

fn take_cell(cell: &mut CellPlan, cursor: &mut LineCursor) -> Result<(), ScriptError> {
    while let Some((key, value)) = cursor.take_setting()? {
        match key.text.as_str() {
            "nodes" => cell.nodes = host_count(&value)?,
            "zones" => cell.zones = host_count(&value)?,
            "racks" => cell.racks = host_count(&value)?,
            "workers-per-rack" => cell.workers_per_rack = host_count(&value)?,
            "millicores" => cell.capacity.millicores = value.number()?,
            "memory" => cell.capacity.memory_bytes = value.bytes()?,
            "accelerators" => cell.capacity.accelerators = value.number()?,
            "slots" => cell.slots = number_u32(&value)?,
            "host-lag" => cell.host_lag_ms = value.duration_ms()?,
            "latency" => cell.latency_ms = value.duration_ms()?,
            "jitter" => cell.jitter_ms = value.duration_ms()?,
            other => return Err(key.error(format!("unknown setting {other}"))),
        }
    }
    Ok(())
}

fn take_bounds(bounds: &mut BoundPlan, cursor: &mut LineCursor) -> Result<(), ScriptError> {
    while let Some((key, value)) = cursor.take_setting()? {
        match key.text.as_str() {
            "key" => bounds.key_ms = value.duration_ms()?,
            "zone" => bounds.zone_ms = value.duration_ms()?,
            "leaving" => bounds.leaving_ms = value.duration_ms()?,
            "config" => bounds.config_ms = value.duration_ms()?,
            "limit" => bounds.limit_ms = value.duration_ms()?,
            other => return Err(key.error(format!("unknown setting {other}"))),
        }
    }
    Ok(())
}

fn take_every(every_ms: u64, cursor: &mut LineCursor) -> Result<StepTiming, ScriptError> {
    cursor.expect("from")?;
    let from_ms = cursor.take("a duration")?.duration_ms()?;
    cursor.expect("to")?;
    let until_ms = cursor.take("a duration")?.duration_ms()?;
    Ok(StepTiming::Every { every_ms: every_ms.max(1), from_ms, until_ms })
}
