//! Tests of the exchange of running attempts.

use {
    super::RunningList, crate::forward_frame::RunningChange, damaskrack_cell::RunningAttempt,
    quickcheck::quickcheck,
};

fn attempt(task: u8, percent: u32) -> RunningAttempt {
    RunningAttempt {
        task: format!("job.0.0.{task}"),
        attempt: u32::from(task % 3),
        checkpoint: String::new(),
        percent,
    }
}

/// Returns the names of a list, sorted, without repetitions.
fn names(list: &[RunningAttempt]) -> Vec<(String, u32)> {
    let mut names: Vec<_> = list.iter().map(|a| (a.task.clone(), a.attempt)).collect();
    names.sort();
    names.dedup();
    names
}

quickcheck! {
    fn both_sides_have_the_same_list(lists: Vec<Vec<u8>>) -> bool {
        let (mut sender, mut receiver) = (RunningList::default(), RunningList::default());
        lists.iter().all(|list| {
            let current: Vec<_> = list.iter().map(|task| attempt(*task, 0)).collect();
            names(&receiver.apply(sender.diff(&current))) == names(&current)
        })
    }

    fn any_change_can_be_applied(removed: Vec<u32>, progressed: Vec<u32>, percents: Vec<u32>) -> bool {
        let mut list = RunningList::default();
        let change = RunningChange { removed, added: Vec::new(), progressed, percents };
        list.apply(change).is_empty()
    }
}

#[test]
fn an_unchanged_list_costs_nothing() {
    let mut sender = RunningList::default();
    let current = [attempt(1, 30), attempt(2, 10)];
    assert_eq!(sender.diff(&current).added.len(), 2);
    assert_eq!(sender.diff(&current), RunningChange::default());
}

#[test]
fn progress_is_sent_in_steps() {
    let (mut sender, mut receiver) = (RunningList::default(), RunningList::default());
    let mut percents = Vec::new();
    for percent in [0, 10, 19, 20, 30, 45] {
        let list = receiver.apply(sender.diff(&[attempt(1, percent)]));
        percents.push(list[0].percent);
    }
    assert_eq!(percents, [0, 0, 0, 20, 0, 45]);
}
