//! `damaskrack job`: shows a job, or waits until it ends.

use crate::{
    ExitStatus,
    answer::print_answer,
    args::JobArgs,
    commands::wait::{WaitGoal, query_job, wait_for_job},
    context::CommandContext,
};

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    args: &JobArgs,
) -> anyhow::Result<ExitStatus> {
    let client = context.caller_client();
    let answer = if args.wait {
        wait_for_job(&client, &args.job, WaitGoal::Ended).await?
    } else {
        query_job(&client, &args.job).await?
    };
    print_answer(context, &answer)
}
