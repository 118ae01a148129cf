//! Explores the protocol and prints what was found.

use {
    clap::Parser,
    damaskrack_spec::{MachineName, Mutation, Verdict},
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
    let mut is_clean = true;
    for machine in MachineName::ALL {
        if options.machine.is_some_and(|wanted| wanted != machine) {
            continue;
        }
        for removed in removals(machine, &options.mutation)? {
            let verdict = machine.explore(&removed);
            is_clean &= verdict.counterexample.is_some() != removed.is_empty();
            print_verdict(machine, &removed, &verdict, options.trace);
        }
    }
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the sets of mechanisms to go without, one an exploration.
fn removals(machine: MachineName, wanted: &[String]) -> anyhow::Result<Vec<Vec<Mutation>>> {
    let all = Mutation::of(machine);
    if wanted.iter().any(|name| name == "each") {
        return Ok(all.iter().map(|&mutation| vec![mutation]).collect());
    }
    let wanted = wanted.iter().map(|name| name.parse()).collect::<Result<Vec<Mutation>, _>>()?;
    let is_of_machine = wanted.iter().all(|mutation| mutation.machine() == machine);
    Ok(is_of_machine.then_some(wanted).into_iter().collect())
}

fn print_verdict(machine: MachineName, removed: &[Mutation], verdict: &Verdict, with_trace: bool) {
    let without: String = removed.iter().map(|name| format!(" without {name}")).collect();
    if removed.is_empty() {
        println!("{machine}: {}", verdict.bounds);
    }
    match &verdict.counterexample {
        None => println!("{machine}{without}: {} states, no violation", verdict.states),
        Some(example) => {
            println!(
                "{machine}{without}: violation after {} states, {} steps: {}",
                verdict.states,
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
