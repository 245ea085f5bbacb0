"""Generate the configuration of a workload from valid answers."""

import math
from typing import Final

from arbutusyard.config.models import (
    Account,
    Model,
    Service,
    ServiceCall,
    WorkClass,
    Workload,
)
from arbutusyard.questionnaire.const import RECOMPUTE_PRICES, URGENCY_PRIORITIES
from arbutusyard.questionnaire.models import Questionnaire, Sender, ServiceAnswer

SECONDS_PER_MINUTE: Final = 60


def generate(answers: Questionnaire) -> Workload:
    """Return the workload configuration for the answers."""
    return Workload(
        name=answers.work.name,
        region=answers.work.region,
        recompute_price=RECOMPUTE_PRICES[answers.work.weighs_most],
        default_class=next(kind.name for kind in answers.kinds if kind.usual),
        models=tuple(Model(m.name, m.weights) for m in answers.models),
        classes=tuple(
            WorkClass(
                name=kind.name,
                priority=URGENCY_PRIORITIES[kind.urgency],
                first_token_s=kind.late_after_s,
                deadline_s=kind.useless_after_s,
            )
            for kind in answers.kinds
        ),
        accounts=tuple(
            sorted((_account(s) for s in answers.senders), key=lambda a: a.name)
        ),
        services=tuple(_service(service) for service in answers.services),
    )


def _account(sender: Sender) -> Account:
    return Account(
        name=sender.name,
        key_hash=sender.key_hash,
        tokens_per_s=math.ceil(sender.tokens_per_minute / SECONDS_PER_MINUTE),
        concurrency=sender.at_once,
        large=sender.large,
    )


def _service(service: ServiceAnswer) -> Service:
    return Service(
        name=service.name,
        timeout_s=service.answers_within_s,
        calls=tuple(
            ServiceCall(call.method, call.path, call.may_be_repeated)
            for call in service.calls
        ),
    )
