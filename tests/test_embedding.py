"""Tests of the examples in docs/EMBEDDING.md and of the public names."""

import re
from pathlib import Path

import pytest

import cuminstack
from cuminstack._public import find_public

PAGE = Path(__file__).parents[1] / 'docs' / 'EMBEDDING.md'
EXAMPLES = re.findall(r'```python\n(.*?)```', PAGE.read_text(), re.DOTALL)


class TestExamples:
    """Each example runs on its own, and its assertions hold."""

    def test_number_of_examples(self) -> None:
        assert len(EXAMPLES) == 3

    @pytest.mark.parametrize('example', EXAMPLES)
    def test_example(self, example: str) -> None:
        code = compile(example, str(PAGE), 'exec')  # noqa: WPS421
        exec(code, {})  # noqa: WPS421


class TestPublicNames:
    """Every public name exists, has a docstring and is in the stub file."""

    @pytest.mark.parametrize('name', cuminstack.__all__)
    def test_has_a_docstring(self, name: str) -> None:
        assert getattr(cuminstack, name).__doc__

    def test_stub_lists_the_same_names(self) -> None:
        stub = Path(cuminstack.__file__).with_suffix('.pyi').read_text()
        listed = re.findall(r"^    '(\w+)',$", stub, re.MULTILINE)
        assert listed == sorted(cuminstack.__all__)

    def test_unknown_name(self) -> None:
        with pytest.raises(AttributeError, match='Nothing'):
            find_public('Nothing')
