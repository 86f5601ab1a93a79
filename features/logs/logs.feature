Feature: Logs are JSON lines

  Scenario Outline: A record of <logger> is one JSON object
    When <logger> logs a <level> with a line break and a traceback
    Then <lines> lines of JSON were written

    Examples:
      | logger                | level   | lines |
      | stoatpath.nodes       | INFO    | 1     |
      | stoatpath.nodes       | ERROR   | 1     |
      | aiohttp.server        | ERROR   | 1     |
      | asyncio               | WARNING | 1     |
      | asyncio               | INFO    | 0     |
