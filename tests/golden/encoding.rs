//! A written encoding of actions and of learned state as 64-bit words: independent of the names that the module gives
//! to its types, fields and log texts, and complete in the values that they carry.

use meadowproxy::*;

/// One word for each kind of action, then the words of its values. Of a log line only that there is one.
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
                    duration: term,
                    consecutive_ejections: strikes,
                },
        } => {
            vec![7, backend.0.into(), term.0, (*strikes).into()]
        }
        Action::PublishVerdict {
            backend,
            verdict: Verdict::Readmitted,
        } => vec![8, backend.0.into()],
        Action::Log(_) => vec![9],
    }
}

/// Every list by its length, then its items; floating-point numbers by their bits.
pub fn encode_memory(memory: &LearnedState) -> Vec<u64> {
    let mut words = vec![memory.hardware_classes.len() as u64];
    for (id, kind) in &memory.hardware_classes {
        words.push(id.0.into());
        words.extend(encode_mean(&kind.latency));
        words.extend(encode_mean(&kind.recent_latency));
        words.push(kind.uncontended_latency_s.to_bits());
        words.push(kind.concurrency_limit.to_bits());
    }
    words.push(memory.classes.len() as u64);
    for (id, latency) in &memory.classes {
        words.push(id.0 as u64);
        words.extend(encode_mean(latency));
    }
    words.extend(encode_mean(&memory.overall_latency));
    words.push(memory.backends.len() as u64);
    for (id, backend) in &memory.backends {
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

fn encode_optional(span: Option<Micros>) -> [u64; 2] {
    match span {
        None => [0, 0],
        Some(span) => [1, span.0],
    }
}
