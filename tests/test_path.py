"""Send requests of each kind through real daemons and simulated backend servers."""

from openai import OpenAI

from arbutusyard.client import Client
from standins.answers import whole_answer

KEY = "demo-cielo-maya"
MODEL = "quetzal-assistant"
MESSAGES = [
    {"role": "system", "content": "airworthiness record " * 500},
    {"role": "user", "content": "is part 4711 traceable"},
]


def test_streamed_answer_is_whole_and_its_prefix_is_reused(quetzal):
    client = Client((quetzal.address("e0"),), KEY)
    first = client.chat(MODEL, MESSAGES, 20)
    second = client.chat(MODEL, MESSAGES, 20)
    assert first.text == second.text == whole_answer(MESSAGES, "v1", 20)
    assert first.cached_tokens == 0
    assert second.cached_tokens == second.prompt_tokens > 0


def test_openai_client_gets_whole_and_streamed_answers_and_the_models(quetzal):
    client = OpenAI(
        base_url=f"http://{quetzal.address('e1')}/v1", api_key=KEY, max_retries=0
    )
    whole = client.chat.completions.create(model=MODEL, messages=MESSAGES, max_tokens=5)
    assert whole.choices[0].message.content == whole_answer(MESSAGES, "v1", 5)
    assert whole.usage.completion_tokens == 5
    chunks = client.chat.completions.create(
        model=MODEL, messages=MESSAGES, max_tokens=5, stream=True
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks)
    assert text == whole_answer(MESSAGES, "v1", 5)
    assert [model.id for model in client.models.list()] == [MODEL]


def test_calls_reach_the_plain_service_and_a_post_executes_once(quetzal):
    client = Client((quetzal.address("e0"),), KEY)
    assert client.call("GET", "exchange", "/stock/abc").status == 200
    assert client.call("POST", "exchange", "/reservations", {"part": "x"}).status == 200
    executions = quetzal.get("x0", "/_executions")["executions"]
    assert list(executions.values()) == [1]


def test_each_entry_lists_all_entries_in_the_same_order(quetzal):
    lists = [Client((quetzal.address(e),), KEY).entries() for e in ("e0", "e1")]
    assert lists[0] == lists[1]
    assert set(lists[0]) == {quetzal.address("e0"), quetzal.address("e1")}
