//! Parser of the scenario language.

mod cursor;
mod edit;
mod error;
mod expectation;
mod fault;
mod parse;
mod plan;
mod submit;
mod word;

pub(crate) use {
    cursor::LineCursor,
    plan::{
        AnswerCount, CellPlan, ChaosFault, ChaosPlan, Comparison, ExpectKind, FaultKind,
        FaultTarget, ManifestEdit, ScriptAction, ScriptExpect, ScriptStep, StepTiming, SubmitPlan,
    },
    word::{ScriptWord, split_line},
};
pub use {
    error::ScriptError,
    plan::{BoundPlan, ScenarioScript},
};
