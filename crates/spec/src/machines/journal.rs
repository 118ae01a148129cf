//! Model of a former and a new owner that write to one journal.
//!
//! Both use the [`JournalWriter`] of the daemons. The former owner does not know that it has been
//! replaced: it may pause at any point and continue much later, even after the new owner has
//! trimmed the journal.

use {
    crate::{Mutation, SpecMachine},
    damaskrack_model::Epoch,
    damaskrack_ownership::{FoundSegment, JournalSegment, JournalStep, JournalWriter},
    std::collections::{BTreeMap, BTreeSet},
};

/// Number of records that each writer appends.
const RECORD_COUNTS: [u8; 2] = [2, 1];
/// Largest number of lost responses and late writes together.
const MAX_FAULTS: u8 = 3;
/// The record that a new owner writes first, to fence the former one.
const TAKEOVER_RECORD: u8 = 0;
/// Index of the new owner in `writers`.
const NEW_OWNER: usize = 1;

/// A store call in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum JournalCall {
    /// Creates a segment.
    Create(u64, String),
    /// Reads a segment.
    ReadBack(u64),
}

/// Phase of the takeover by the new owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum NewOwnerPhase {
    /// It has not read the journal.
    Loading,
    /// It writes its first segment.
    Fencing,
    /// Its first segment is durable, and it appends records.
    Active,
}

/// State of one writer.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct WriterState {
    writer: JournalWriter<u8>,
    /// Records that it has appended, with their positions.
    appended: Vec<(u64, u8)>,
    call: Option<JournalCall>,
    late: Option<(u64, String)>,
}

/// State of the store and both writers.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JournalState {
    segments: BTreeMap<u64, String>,
    writers: [WriterState; 2],
    phase: NewOwnerPhase,
    loaded: BTreeSet<u8>,
    has_snapshot: bool,
    trim_below: Option<u64>,
    faults: u8,
    /// Counter that stands in for random write numbers.
    draws: u64,
}

/// A step of the journal model.
#[derive(Debug, Clone, Copy)]
pub enum WriterStep {
    /// The new owner reads the journal.
    Load,
    /// A writer appends a record.
    Append(usize),
    /// The new owner makes its next segment a snapshot of all records.
    Snapshot,
    /// The writer starts its next store call.
    Call(usize),
    /// The store executes the call and the response arrives.
    Answered(usize),
    /// The store executes the call and the response is lost.
    AnswerLost(usize),
    /// The writer gives up on the call, which the store executes later.
    Late(usize),
    /// The store executes a late call.
    LateArrives(usize),
    /// The segments before the snapshot are deleted.
    Trim,
}

/// Model of the journal.
#[derive(Debug)]
pub struct JournalMachine {
    removed: Vec<Mutation>,
}

impl JournalMachine {
    fn is_removed(&self, mutation: Mutation) -> bool {
        self.removed.contains(&mutation)
    }

    fn load(state: &mut JournalState) {
        state.loaded = replay(&state.segments);
        let last = state.segments.keys().next_back().copied().unwrap_or(0);
        let mut writer = JournalWriter::new(Epoch(2), last + 1);
        let position = writer.append(TAKEOVER_RECORD);
        let appended = vec![(position, TAKEOVER_RECORD)];
        state.writers[NEW_OWNER] = WriterState { writer, appended, call: None, late: None };
        state.phase = NewOwnerPhase::Fencing;
    }

    /// Creates a segment, or returns the existing segment with that number.
    fn create_segment(&self, state: &mut JournalState, number: u64, value: &str) -> Option<String> {
        let existing = state.segments.get(&number).cloned();
        if existing.is_some() && !self.is_removed(Mutation::CreateOnly) {
            return existing;
        }
        state.segments.insert(number, value.to_owned());
        None
    }

    fn begin_call(state: &mut JournalState, index: usize) {
        state.draws += 1;
        let draws = state.draws;
        let writer_state = &mut state.writers[index];
        writer_state.call = match writer_state.writer.next_step(|| draws) {
            JournalStep::Create { number, value } => Some(JournalCall::Create(number, value)),
            JournalStep::ReadBack { number } => Some(JournalCall::ReadBack(number)),
            JournalStep::Idle | JournalStep::Fenced => None,
        };
    }

    fn complete_call(&self, state: &mut JournalState, index: usize) {
        match state.writers[index].call.take() {
            Some(JournalCall::Create(number, value)) => {
                match self.create_segment(state, number, &value) {
                    None => self.handle_written(state, index),
                    Some(existing) => self.handle_found(state, index, Some(&existing)),
                }
            }
            Some(JournalCall::ReadBack(number)) => {
                let value = state.segments.get(&number).cloned();
                self.handle_found(state, index, value.as_deref());
            }
            None => {}
        }
    }

    fn handle_found(&self, state: &mut JournalState, index: usize, value: Option<&str>) {
        let writer = &mut state.writers[index].writer;
        match writer.on_found(value) {
            FoundSegment::Mine => self.handle_written(state, index),
            FoundSegment::Absent => {
                let JournalStep::Create { number, value } = writer.on_not_written() else { return };
                state.writers[index].call = Some(JournalCall::Create(number, value));
            }
            FoundSegment::Foreign => self.handle_fenced(state, index),
        }
    }

    fn handle_fenced(&self, state: &mut JournalState, index: usize) {
        if index != NEW_OWNER || state.phase != NewOwnerPhase::Fencing {
            return;
        }
        if self.is_removed(Mutation::ReloadAfterConflict) {
            let loaded = state.loaded.clone();
            Self::load(state);
            state.loaded = loaded;
        } else {
            state.phase = NewOwnerPhase::Loading;
        }
    }

    fn handle_written(&self, state: &mut JournalState, index: usize) {
        let number = state.writers[index].writer.next_number();
        if state.writers[index].writer.on_written() {
            state.trim_below = Some(number);
        }
        if index == NEW_OWNER && state.phase == NewOwnerPhase::Fencing {
            state.phase = NewOwnerPhase::Active;
        }
    }

    fn lose_response(&self, state: &mut JournalState, index: usize) {
        state.faults -= 1;
        state.writers[index].call = None;
        if self.is_removed(Mutation::JournalReadBack) {
            self.handle_written(state, index);
        } else {
            state.writers[index].writer.on_response_lost();
        }
    }

    fn trim_segments(&self, state: &mut JournalState) {
        let Some(below) = state.trim_below.take() else { return };
        let mut epochs = BTreeSet::new();
        let keeps_fences = !self.is_removed(Mutation::FenceSurvivesTrim);
        state.segments.retain(|&number, value| {
            let epoch = JournalSegment::<u8>::from_json(value).map(|segment| segment.epoch);
            let is_first = epoch.is_ok_and(|epoch| epochs.insert(epoch));
            number >= below || (keeps_fences && is_first)
        });
    }

    fn writer_steps(&self, state: &JournalState, index: usize) -> Vec<WriterStep> {
        let writer_state = &state.writers[index];
        let is_working = index != NEW_OWNER || state.phase == NewOwnerPhase::Active;
        let mut steps = Vec::new();
        let own_records =
            writer_state.appended.iter().filter(|(_, record)| *record != TAKEOVER_RECORD).count();
        if is_working && own_records < usize::from(RECORD_COUNTS[index]) {
            steps.push(WriterStep::Append(index));
        }
        let may_call = index != NEW_OWNER || state.phase != NewOwnerPhase::Loading;
        if may_call && writer_state.call.is_none() && writer_state.writer.wants_write() {
            steps.push(WriterStep::Call(index));
        }
        if let Some(call) = &writer_state.call {
            steps.push(WriterStep::Answered(index));
            if state.faults > 0 {
                steps.push(WriterStep::AnswerLost(index));
            }
            if state.faults > 0
                && writer_state.late.is_none()
                && matches!(call, JournalCall::Create(..))
            {
                steps.push(WriterStep::Late(index));
            }
        }
        steps.extend(writer_state.late.as_ref().map(|_| WriterStep::LateArrives(index)));
        steps
    }

    fn apply(&self, state: &mut JournalState, step: WriterStep) {
        match step {
            WriterStep::Load => Self::load(state),
            WriterStep::Append(index) => {
                let writer_state = &mut state.writers[index];
                let record = 10 * (index as u8 + 1) + writer_state.appended.len() as u8;
                let position = writer_state.writer.append(record);
                writer_state.appended.push((position, record));
            }
            WriterStep::Snapshot => {
                state.has_snapshot = true;
                let own_records =
                    state.writers[NEW_OWNER].appended.iter().map(|(_, record)| *record);
                let records: BTreeSet<u8> =
                    state.loaded.iter().copied().chain(own_records).collect();
                state.writers[NEW_OWNER].writer.snapshot(records.into_iter().collect());
            }
            WriterStep::Call(index) => Self::begin_call(state, index),
            WriterStep::Answered(index) => self.complete_call(state, index),
            WriterStep::AnswerLost(index) => {
                if let Some(JournalCall::Create(number, value)) = state.writers[index].call.clone()
                {
                    self.create_segment(state, number, &value);
                }
                self.lose_response(state, index);
            }
            WriterStep::Late(index) => {
                if let Some(JournalCall::Create(number, value)) = state.writers[index].call.clone()
                {
                    state.writers[index].late = Some((number, value));
                }
                self.lose_response(state, index);
            }
            WriterStep::LateArrives(index) => {
                if let Some((number, value)) = state.writers[index].late.take() {
                    self.create_segment(state, number, &value);
                }
            }
            WriterStep::Trim => self.trim_segments(state),
        }
    }
}

fn replay(segments: &BTreeMap<u64, String>) -> BTreeSet<u8> {
    let mut records = BTreeSet::new();
    for segment in segments.values().filter_map(|text| JournalSegment::<u8>::from_json(text).ok()) {
        if segment.is_snapshot {
            records.clear();
        }
        records.extend(segment.records);
    }
    records
}

/// Returns the records that a writer regards as durable.
fn durable_records(writer_state: &WriterState) -> impl Iterator<Item = u8> + '_ {
    let durable = writer_state.writer.durable_position();
    writer_state.appended.iter().filter(move |(at, _)| *at <= durable).map(|(_, record)| *record)
}

impl SpecMachine for JournalMachine {
    type State = JournalState;
    type Step = WriterStep;

    fn new(removed: &[Mutation]) -> Self {
        Self { removed: removed.to_vec() }
    }

    fn bounds(&self) -> &'static str {
        "2 writers, 2 and 1 records, a snapshot and its trim, 3 lost answers or late writes"
    }

    fn initial(&self) -> JournalState {
        let first = JournalSegment {
            epoch: Epoch(1),
            write: 0,
            is_snapshot: false,
            records: vec![TAKEOVER_RECORD],
        };
        let writer_state = |epoch, next| WriterState {
            writer: JournalWriter::new(Epoch(epoch), next),
            appended: Vec::new(),
            call: None,
            late: None,
        };
        JournalState {
            segments: BTreeMap::from([(1, first.to_json())]),
            writers: [writer_state(1, 2), writer_state(2, 2)],
            phase: NewOwnerPhase::Loading,
            loaded: BTreeSet::new(),
            has_snapshot: false,
            trim_below: None,
            faults: MAX_FAULTS,
            draws: 0,
        }
    }

    fn successors(&self, state: &JournalState) -> Vec<(WriterStep, JournalState)> {
        let mut steps: Vec<_> = (0..2).flat_map(|index| self.writer_steps(state, index)).collect();
        match state.phase {
            NewOwnerPhase::Loading => steps.push(WriterStep::Load),
            NewOwnerPhase::Active if !state.has_snapshot => steps.push(WriterStep::Snapshot),
            _ => {}
        }
        steps.extend(state.trim_below.map(|_| WriterStep::Trim));
        let successor = |step| {
            let mut next = state.clone();
            self.apply(&mut next, step);
            (step, next)
        };
        steps.into_iter().map(successor).collect()
    }

    fn violation(&self, state: &JournalState) -> Option<&'static str> {
        let stored = replay(&state.segments);
        if state.phase == NewOwnerPhase::Active {
            let is_unknown = |record: u8| !state.loaded.contains(&record);
            if durable_records(&state.writers[0]).any(is_unknown) {
                return Some("a record that the former owner calls durable is unknown to the new");
            }
            let required =
                state.loaded.iter().copied().chain(durable_records(&state.writers[NEW_OWNER]));
            if required.into_iter().any(|record| !stored.contains(&record)) {
                return Some("a durable record is not in the journal any more");
            }
        } else if durable_records(&state.writers[0]).any(|record| !stored.contains(&record)) {
            return Some("a durable record is not in the journal any more");
        }
        None
    }
}
