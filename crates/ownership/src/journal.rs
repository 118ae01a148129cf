//! A log of records kept as numbered store keys, written by one owner at a time.
//!
//! Each commit creates the next numbered segment; a segment that exists is never overwritten. A
//! new owner first creates a segment of its own at the end, so the former owner's next commit
//! meets an existing key and fails: that is the journal's fence, and it needs no clock. Records
//! that arrive while a commit is under way are written together by the next one, so the number of
//! store writes depends on the write budget, not on the number of records.

use {
    damaskrack_model::Epoch,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::fmt,
};

/// A segment in the store is not of the expected form.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentError(String);

impl fmt::Display for SegmentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed journal segment: {}", self.0)
    }
}

impl std::error::Error for SegmentError {}

/// One commit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JournalSegment<R> {
    /// Epoch of the writer.
    pub epoch: Epoch,
    /// Random number of the write, by which a writer whose answer was lost finds its own write.
    pub write: u64,
    /// Whether the records restate everything before them, so that earlier segments can go.
    pub is_snapshot: bool,
    /// The records.
    pub records: Vec<R>,
}

impl<R: Serialize + DeserializeOwned> JournalSegment<R> {
    /// Encodes the segment for the store.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Decodes a segment from the store.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the text.
    pub fn from_json(text: &str) -> Result<Self, SegmentError> {
        serde_json::from_str(text).map_err(|error| SegmentError(error.to_string()))
    }
}

/// What the writer wants done next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalStep {
    /// Nothing to write, or a write is under way.
    Idle,
    /// Create the segment with this number and value; it must not exist.
    Create {
        /// Number of the segment.
        number: u64,
        /// Its value.
        value: String,
    },
    /// Read the segment with this number back, because the answer to its write was lost.
    ReadBack {
        /// Number of the segment.
        number: u64,
    },
    /// Another owner has written; this one must stop.
    Fenced,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WriterPhase {
    Idle,
    Writing,
    Uncertain,
    ReadingBack,
    Fenced,
}

/// The writing end of a journal.
///
/// The caller asks for the [`next step`](Self::next_step), carries it out, and reports how it
/// ended. Positions count records; a record is durable once
/// [`durable_position`](Self::durable_position) has passed it.
///
/// # Examples
///
/// ```
/// use {damaskrack_model::Epoch, damaskrack_ownership::{JournalStep, JournalWriter}};
///
/// let mut writer = JournalWriter::new(Epoch(3), 1);
/// let position = writer.append("accepted".to_owned());
/// let JournalStep::Create { number, .. } = writer.next_step(|| 77) else { panic!() };
/// assert_eq!(number, 1);
/// writer.on_written();
/// assert!(writer.durable_position() >= position);
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct JournalWriter<R> {
    epoch: Epoch,
    next_number: u64,
    phase: WriterPhase,
    write: u64,
    in_flight: Vec<R>,
    in_flight_is_snapshot: bool,
    /// Records that no write has carried yet; `None` where one was withdrawn.
    pending: Vec<Option<R>>,
    pending_snapshot: Option<Vec<R>>,
    appended: u64,
    durable: u64,
    segments_since_snapshot: u64,
}

impl<R: Serialize + DeserializeOwned + Clone> JournalWriter<R> {
    /// Most records of one segment, which keeps its value far below one megabyte.
    pub const MAX_RECORDS: usize = 512;

    /// Makes a writer for an owner under `epoch` whose next segment has number `next_number`.
    #[must_use]
    pub fn new(epoch: Epoch, next_number: u64) -> Self {
        Self {
            epoch,
            next_number,
            phase: WriterPhase::Idle,
            write: 0,
            in_flight: Vec::new(),
            in_flight_is_snapshot: false,
            pending: Vec::new(),
            pending_snapshot: None,
            appended: 0,
            durable: 0,
            segments_since_snapshot: 0,
        }
    }

    /// Adds a record and returns its position.
    pub fn append(&mut self, record: R) -> u64 {
        self.pending_snapshot = None;
        self.pending.push(Some(record));
        self.appended += 1;
        self.appended
    }

    /// Takes back a record that no write has carried yet.
    ///
    /// Returns whether that was possible. If not, the record may be or become durable.
    pub fn withdraw(&mut self, position: u64) -> bool {
        let first = self.appended - self.pending.len() as u64 + 1;
        let index = position.checked_sub(first).and_then(|index| usize::try_from(index).ok());
        match index.and_then(|index| self.pending.get_mut(index)) {
            Some(record) => record.take().is_some(),
            None => false,
        }
    }

    /// Returns how many records wait to be written.
    #[must_use]
    pub fn pending_len(&self) -> usize {
        self.pending.len()
    }

    /// Restates everything in the next segment. `records` must include what is still pending; a
    /// later [`append`](Self::append) discards the snapshot.
    pub fn snapshot(&mut self, records: Vec<R>) {
        self.pending_snapshot = Some(records);
    }

    /// Returns the position up to which records are durable.
    #[must_use]
    pub fn durable_position(&self) -> u64 {
        self.durable
    }

    /// Returns the position of the last record that was appended.
    #[must_use]
    pub fn appended_position(&self) -> u64 {
        self.appended
    }

    /// Returns how many segments follow the last snapshot.
    #[must_use]
    pub fn segments_since_snapshot(&self) -> u64 {
        self.segments_since_snapshot
    }

    /// Returns the number that the next segment will have.
    #[must_use]
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// Tells whether nothing waits to be written.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.phase == WriterPhase::Idle
            && self.pending.is_empty()
            && self.pending_snapshot.is_none()
    }

    /// Tells whether another owner has written.
    #[must_use]
    pub fn is_fenced(&self) -> bool {
        self.phase == WriterPhase::Fenced
    }

    /// Tells whether a commit could start now.
    #[must_use]
    pub fn wants_write(&self) -> bool {
        match self.phase {
            WriterPhase::Idle => !self.pending.is_empty() || self.pending_snapshot.is_some(),
            WriterPhase::Uncertain => true,
            _ => false,
        }
    }

    /// Returns what to do next; `draw` gives a random number for a new write.
    pub fn next_step(&mut self, draw: impl FnOnce() -> u64) -> JournalStep {
        match self.phase {
            WriterPhase::Idle => self.begin_write(draw),
            WriterPhase::Uncertain => {
                self.phase = WriterPhase::ReadingBack;
                JournalStep::ReadBack { number: self.next_number }
            }
            WriterPhase::Fenced => JournalStep::Fenced,
            WriterPhase::Writing | WriterPhase::ReadingBack => JournalStep::Idle,
        }
    }

    fn begin_write(&mut self, draw: impl FnOnce() -> u64) -> JournalStep {
        if let Some(records) = self.pending_snapshot.take() {
            self.pending.clear();
            self.in_flight = records;
            self.in_flight_is_snapshot = true;
        } else if self.pending.is_empty() {
            return JournalStep::Idle;
        } else {
            let count = self.pending.len().min(Self::MAX_RECORDS);
            self.in_flight = self.pending.drain(..count).flatten().collect();
            self.in_flight_is_snapshot = false;
        }
        self.write = draw();
        self.create_step()
    }

    fn create_step(&mut self) -> JournalStep {
        self.phase = WriterPhase::Writing;
        let segment = JournalSegment {
            epoch: self.epoch,
            write: self.write,
            is_snapshot: self.in_flight_is_snapshot,
            records: self.in_flight.clone(),
        };
        JournalStep::Create { number: self.next_number, value: segment.to_json() }
    }

    /// Reports that the write took effect. Returns whether it was a snapshot.
    pub fn on_written(&mut self) -> bool {
        let is_snapshot = self.in_flight_is_snapshot;
        self.next_number += 1;
        self.segments_since_snapshot =
            if is_snapshot { 0 } else { self.segments_since_snapshot + 1 };
        self.in_flight.clear();
        self.phase = WriterPhase::Idle;
        self.durable = self.appended - self.pending.len() as u64;
        is_snapshot
    }

    /// Reports that the write certainly took no effect; it is tried again.
    pub fn on_not_written(&mut self) -> JournalStep {
        self.create_step()
    }

    /// Reports that the answer to the write was lost; the next step reads it back.
    pub fn on_response_lost(&mut self) {
        self.phase = WriterPhase::Uncertain;
    }

    /// Reports what stands under the segment's number, after a conflict or a read.
    ///
    /// Returns whether the write took effect as it was meant to.
    pub fn on_found(&mut self, value: Option<&str>) -> FoundSegment {
        let Some(value) = value else {
            return FoundSegment::Absent;
        };
        match JournalSegment::<R>::from_json(value) {
            Ok(segment) if segment.epoch == self.epoch && segment.write == self.write => {
                FoundSegment::Mine
            }
            _ => {
                self.phase = WriterPhase::Fenced;
                FoundSegment::Foreign
            }
        }
    }
}

/// What stands under a segment's number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FoundSegment {
    /// Nothing: the write took no effect.
    Absent,
    /// This writer's own segment: the write took effect.
    Mine,
    /// Another owner's segment: this writer is fenced.
    Foreign,
}
