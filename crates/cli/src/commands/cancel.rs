//! `damaskrack cancel`: cancels a job.

use {
    crate::{
        ExitStatus, answer::print_answer, args::CancelArgs, client::ApiCall,
        context::CommandContext,
    },
    http::Method,
};

pub(crate) async fn run(
    context: &mut CommandContext<'_>,
    args: &CancelArgs,
) -> anyhow::Result<ExitStatus> {
    let path = format!("/v1/jobs/{}", args.job);
    let answer =
        context.caller_client().call(&ApiCall::new(Method::DELETE, &path)).await?.parse()?;
    print_answer(context, &answer)
}
