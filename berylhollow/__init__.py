"""Serving layer for very many LoRA adapters over shared base models."""

__version__ = '0.1.0'
