#pragma once

/**
 * @brief Helpers shared by the roles: conversion of settings at startup, and authentication by bearer key.
 */
namespace rhubarbwharf::setup {} // namespace rhubarbwharf::setup
