Feature: Experiments are repeatable and drive the real decisions

  Scenario: The same seed gives the same result of a routing trial
    Given a routing trial of coral-coast at load 0.8 with seed 7
    When the trial is run twice
    Then both results are the same

  Scenario: Whoever chooses, the arrivals are the same
    Given a routing trial of prichard at load 0.5 with seed 3
    When it is run with the router's chooser and with random choice
    Then both served the same number of requests

  Scenario: An engine that batches takes longer for each token under load
    Given an engine that runs 1 request of 100 tokens
    When 15 more requests of 100 tokens arrive with it
    Then the first request takes 1.9 times as long as alone
