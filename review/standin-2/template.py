"""Fills a start-up template in the way that DEPLOY.md describes (the parts that deploy/gateway.json uses)."""

import json
import re

TOKEN = re.compile(r"\{\{([#^/]?)\s*([^}]*?)\s*\}\}")


def parse(text):
    """Returns a tree of texts, gaps and blocks."""
    root = []
    stack = [(None, None, root)]
    position = 0
    for match in TOKEN.finditer(text):
        stack[-1][2].append(("text", text[position : match.start()]))
        position = match.end()
        sign, name = match.groups()
        if sign in ("#", "^"):
            stack.append((sign, name, []))
        elif sign == "/":
            opened, opened_name, children = stack.pop()
            assert opened_name == name, name
            stack[-1][2].append(("block", opened, name, children))
        else:
            stack[-1][2].append(("gap", name))
    stack[-1][2].append(("text", text[position:]))
    return root


def lookup(scopes, name):
    for scope in reversed(scopes):
        value = scope
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def plain(value):
    if value is None:
        return ""
    if isinstance(value, str):
        return value
    if isinstance(value, list):
        return ",".join(plain(item) for item in value)
    return json.dumps(value)


def render_block(sign, name, children, scopes, entry):
    value = lookup(scopes, name)
    given = value is not None and value is not False
    if sign == "^":
        return "" if given else render(children, scopes, entry)
    if not given:
        return ""
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    else:
        return render(children, scopes, (None, value, True))
    out = ""
    for index, (key, item) in enumerate(items):
        last = index == len(items) - 1
        inner = scopes + [item] if isinstance(item, dict) else scopes
        out += render(children, inner, (key, item, last))
    return out


def render(nodes, scopes, entry=(None, None, True)):
    out = ""
    for node in nodes:
        if node[0] == "text":
            out += node[1]
        elif node[0] == "block":
            out += render_block(node[1], node[2], node[3], scopes, entry)
        elif node[1] == ".":
            out += plain(entry[1])
        elif node[1] == "@":
            out += plain(entry[0])
        elif node[1] == ",":
            out += "" if entry[2] else ","
        else:
            out += plain(lookup(scopes, node[1]))
    return out


def fill(text, fields):
    return render(parse(text), [fields])
