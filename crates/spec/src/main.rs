//! Command line that explores the state machines of the protocol and prints the outcomes.

use {
    clap::Parser,
    damaskrack_spec::{ExplorationOutcome, MachineName, Mutation},
    std::process::ExitCode,
};

/// Explores the core protocol state by state.
#[derive(Debug, Parser)]
#[command(name = "damaskrack-spec", version)]
struct SpecOptions {
    /// Machine to explore; all if not given.
    #[arg(long)]
    machine: Option<MachineName>,
    /// Mechanism to go without, may be given several times; `each` removes one after the other.
    #[arg(long)]
    mutation: Vec<String>,
    /// Print the shortest way to a violation.
    #[arg(long)]
    trace: bool,
}

fn main() -> anyhow::Result<ExitCode> {
    let options = SpecOptions::parse();
    let mut is_expected = true;
    for machine in MachineName::ALL {
        if options.machine.is_some_and(|selected| selected != machine) {
            continue;
        }
        for removed in mutation_sets(machine, &options.mutation)? {
            let outcome = machine.explore(&removed);
            is_expected &= outcome.counterexample.is_some() != removed.is_empty();
            print_outcome(machine, &removed, &outcome, options.trace);
        }
    }
    Ok(if is_expected { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the set of mechanisms to remove for each exploration of a machine.
fn mutation_sets(machine: MachineName, selected: &[String]) -> anyhow::Result<Vec<Vec<Mutation>>> {
    let all = Mutation::of(machine);
    if selected.iter().any(|name| name == "each") {
        return Ok(all.iter().map(|&mutation| vec![mutation]).collect());
    }
    let selected =
        selected.iter().map(|name| name.parse()).collect::<Result<Vec<Mutation>, _>>()?;
    let is_of_machine = selected.iter().all(|mutation| mutation.machine() == machine);
    Ok(is_of_machine.then_some(selected).into_iter().collect())
}

fn print_outcome(
    machine: MachineName,
    removed: &[Mutation],
    outcome: &ExplorationOutcome,
    with_trace: bool,
) {
    let suffix: String = removed.iter().map(|name| format!(" without {name}")).collect();
    if removed.is_empty() {
        println!("{machine}: {}", outcome.bounds);
    }
    match &outcome.counterexample {
        None => println!("{machine}{suffix}: {} states, no violation", outcome.states),
        Some(example) => {
            println!(
                "{machine}{suffix}: violation after {} states, {} steps: {}",
                outcome.states,
                example.steps.len(),
                example.property,
            );
            if with_trace {
                for (index, step) in example.steps.iter().enumerate() {
                    println!("  {:>2}. {step}", index + 1);
                }
                println!("      {}", example.state);
            }
        }
    }
}
