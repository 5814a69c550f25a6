//! Encodes actions and learned state as 64-bit words for the golden digests. The encoding contains every value and is
//! independent of the names of types and fields and of log texts.

use meadowproxy::*;

/// The words of an action: one for its kind, then its values. Of a log line only its occurrence is encoded.
pub fn encode_action(action: &Action) -> Vec<u64> {
    match action {
        Action::Dispatch { request, backend } => vec![1, request.0, backend.0.into()],
        Action::Reject {
            request,
            retry_after,
        } => vec![2, request.0, retry_after.0],
        Action::Fail { request } => vec![3, request.0],
        Action::Cancel { request, attempt } => vec![4, request.0, attempt.0.into()],
        Action::SetTimer { token, after } => vec![5, token.0, after.0],
        Action::PollDiscovery => vec![6],
        Action::PublishVerdict {
            backend,
            verdict:
                Verdict::Ejected {
                    duration,
                    consecutive_ejections,
                },
        } => {
            vec![
                7,
                backend.0.into(),
                duration.0,
                (*consecutive_ejections).into(),
            ]
        }
        Action::PublishVerdict {
            backend,
            verdict: Verdict::Readmitted,
        } => vec![8, backend.0.into()],
        Action::Log(_) => vec![9],
    }
}

/// The words of the learned state: each list as its length and its items, floating-point numbers as their bits.
pub fn encode_learned_state(state: &LearnedState) -> Vec<u64> {
    let mut words = vec![state.hardware_classes.len() as u64];
    for (id, hardware_class) in &state.hardware_classes {
        words.push(id.0.into());
        words.extend(encode_mean(&hardware_class.latency));
        words.extend(encode_mean(&hardware_class.recent_latency));
        words.push(hardware_class.uncontended_latency_s.to_bits());
        words.push(hardware_class.concurrency_limit.to_bits());
    }
    words.push(state.classes.len() as u64);
    for (id, latency) in &state.classes {
        words.push(id.0 as u64);
        words.extend(encode_mean(latency));
    }
    words.extend(encode_mean(&state.overall_latency));
    words.push(state.backends.len() as u64);
    for (id, backend) in &state.backends {
        words.push(id.0.into());
        words.extend(encode_optional(backend.ejected_for));
        words.push(i64::from(backend.consecutive_ejections) as u64);
        words.extend(encode_optional(backend.enabled_ago));
    }
    words
}

fn encode_mean(mean: &SampledMean) -> [u64; 2] {
    [mean.value.to_bits(), mean.count.to_bits()]
}

fn encode_optional(duration: Option<Micros>) -> [u64; 2] {
    match duration {
        None => [0, 0],
        Some(duration) => [1, duration.0],
    }
}
