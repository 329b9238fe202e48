"""Result codes and refusals."""

from .codes import ResultCode, Run
from .refusal import PROBLEM_CONTENT_TYPE, Refusal, problem_document

__all__ = ["PROBLEM_CONTENT_TYPE", "Refusal", "ResultCode", "Run", "problem_document"]
